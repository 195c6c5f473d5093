import { describe, expect, it } from "@jest/globals";
import { readLines } from "./readLines.js";

async function* listChunks(chunks: readonly string[]): AsyncIterable<string> {
    yield* chunks;
}

async function collectLines(chunks: readonly string[]): Promise<readonly (string | undefined)[]> {
    const lines: (string | undefined)[] = [];
    for await (const line of readLines(listChunks(chunks))) {
        lines.push(line);
    }
    return lines;
}

describe("readLines", () => {
    it("joins lines that are spread over chunks, and reads a last one without a line feed", async () => {
        expect(await collectLines(["a\nb", "c", "d\n", "\ne"])).toEqual(["a", "bcd", "", "e"]);
    });

    it("reads nothing from an empty text", async () => {
        expect(await collectLines([])).toEqual([]);
    });

    it("keeps nothing of a line that is too long, wherever its chunks end, and reads the next one", async () => {
        const long = "x".repeat(600_000);
        expect(await collectLines([long, long, "x\nnext\n"])).toEqual([undefined, "next"]);
        expect(await collectLines([`${long}${long}\nnext\n`])).toEqual([undefined, "next"]);
        expect(await collectLines([long, long, long])).toEqual([undefined]);
    });
});
