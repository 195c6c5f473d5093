import { describe, expect, it } from "@jest/globals";
import { LineBuffer } from "./lineBuffer.js";

describe("LineBuffer", () => {
    it("writes the lines of a short time at once, in order", async () => {
        let noteWritten: (text: string) => void = () => undefined;
        const written = new Promise<string>(resolve => noteWritten = resolve);
        const buffer = new LineBuffer(text => noteWritten(text));
        buffer.addLine("first\n");
        buffer.addLine("second\n");
        // The buffer's timer doesn't keep the process alive.
        const keepAlive = setTimeout(() => undefined, 10_000);
        expect(await written).toBe("first\nsecond\n");
        clearTimeout(keepAlive);
    });

    it("writes at once what a flood of lines has gathered", () => {
        const texts: string[] = [];
        const buffer = new LineBuffer(text => texts.push(text));
        buffer.addLine(`${"x".repeat(20_000)}\n`);
        expect(texts).toHaveLength(1);
    });

    it("writes each line once when it is flushed", () => {
        const texts: string[] = [];
        const buffer = new LineBuffer(text => texts.push(text));
        buffer.addLine("last\n");
        buffer.flush();
        buffer.flush();
        expect(texts).toEqual(["last\n"]);
    });
});
