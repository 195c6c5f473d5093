import { afterAll, beforeAll, describe, expect, it } from "@jest/globals";
import { ErrorKind } from "@sardinestage/errors";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { formatMargins } from "./formatMargins.js";
import { measureMargins } from "./measureMargins.js";

const LOG = [
    "played at 0.7",
    "   10.000 vm-1 {\"time\":\"\",\"event\":\"fleet-summary\",\"freeCpuMillis\":81600}",
    "   12.250 vm-1 {\"time\":\"\",\"event\":\"long-running-idle\",\"reason\":\"Processor\",\"tasks\":2,\"oldest\":\"b0/0/0/1\",\"run\":0,"
    + "\"idleMs\":5600,\"reasonMs\":900}",
    "   13.250 vm-1 {\"time\":\"\",\"event\":\"long-running-idle\",\"reason\":\"Memory\",\"tasks\":1,\"oldest\":\"b1/0/0/1\",\"run\":4,"
    + "\"idleMs\":7600,\"reasonMs\":700}",
    "   41.300 vm-2 {\"time\":\"\",\"event\":\"answer-late\",\"tookMs\":2800}",
    "",
].join("\n");

describe("measureMargins", () => {
    let folder: string;

    beforeAll(() => {
        folder = mkdtempSync(join(tmpdir(), "margins-"));
    });

    afterAll(() => rmSync(folder, { recursive: true }));

    function writeLog(text: string): string {
        const path = join(folder, "day.log");
        writeFileSync(path, text);
        return path;
    }

    it("measures a log, and the tables show it with the greatest age first", async () => {
        const margins = (await measureMargins(writeLog(LOG), [])).unwrap();
        expect(formatMargins(margins, false)).toEqual([
            "| reason | lines | never run | most tasks | idleMs | reasonMs | past 3 s | past 5 s | past 7 s | from s | to s "
            + "| oldest at s | free then | oldest |",
            `|${" --- |".repeat(14)}`,
            "| Memory | 1 | 0 | 1 | 7600 | 700 | 1 | 1 | 1 | 13.3 | 13.3 | 13.3 | 81600 | b1/0/0/1 |",
            "| Processor | 1 | 1 | 2 | 5600 | 900 | 1 | 1 | 0 | 12.3 | 12.3 | 12.3 | 81600 | b0/0/0/1 |",
            "",
            "| event | lines | tookMs | at s | seconds (lines) |",
            `|${" --- |".repeat(5)}`,
            "| answer-late | 1 | 2800 | 41.3 | 41 (1) |",
            "",
            "Events: 4; dropped by the processes: 0; not counted: 1 Foreign.",
        ]);
    });

    it("tells calm apart if a span is given", async () => {
        const margins = (await measureMargins(writeLog(LOG), [{ fromSecond: 0, toSecond: 13 }])).unwrap();
        const rows = formatMargins(margins, true).filter(line => /Memory|Processor|late/.test(line));
        expect(rows.map(row => row.slice(0, 12))).toEqual(["| no | Memor", "| yes | Proc", "| no | answe"]);
    });

    it("refuses a file that isn't there", async () => {
        const margins = await measureMargins(join(folder, "absent.log"), []);
        expect(margins.err && margins.val.kind).toBe(ErrorKind.InvalidArgument);
    });

    it("refuses a file without an event", async () => {
        const margins = await measureMargins(writeLog("worth 0.5\n"), []);
        expect(margins.err && margins.val.message).toMatch(/has no event in it/);
    });
});
