import { describe, expect, it } from "@jest/globals";
import { execFile } from "node:child_process";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { HeavyScenario } from "../testing/heavyScenario.js";

/** The memory of an entry VM's process, as the deploy file limits it. */
const MEMORY_OPTIONS = ["--max-old-space-size=96", "--max-semi-space-size=8"];
const SMALL_JOB_TASKS = 8;
const TIMEOUT_MS = 120_000;

interface HeavyResult {
    readonly earlierDone: number;
    readonly laterDone: number;
    readonly newestStarted: number;
    readonly doneInFirstTerm: number;
    readonly doneInBothTerms: number;
    readonly pending: number;
    readonly activeAfterCancel: number;
    readonly violations: number;
    readonly storedParts: number;
}

async function runScenario(scenario: HeavyScenario): Promise<HeavyResult> {
    const program = fileURLToPath(new URL("../testing/runHeavyWork.js", import.meta.url));
    const { stdout } = await promisify(execFile)(process.execPath, [...MEMORY_OPTIONS, program, scenario]);
    return JSON.parse(stdout) as HeavyResult;
}

// Guards against a coordinator whose memory follows what a caller writes: its process ended, on one VM after the other.
describe("In the memory of an entry VM", () => {
    describe.each(Object.values(HeavyScenario))("a coordinator with %s", scenario => {
        it("serves small jobs, across a takeover and a cancellation, and keeps running the large work", async () => {
            const result = await runScenario(scenario);
            expect(result).toMatchObject({
                earlierDone: SMALL_JOB_TASKS,
                laterDone: SMALL_JOB_TASKS,
                pending: expect.any(Number),
                activeAfterCancel: 0,
                violations: 0,
                storedParts: 0,
            });
            expect(result.doneInFirstTerm).toBeGreaterThan(500);
            expect(result.doneInBothTerms).toBeGreaterThan(result.doneInFirstTerm + 500);
        }, TIMEOUT_MS);
    });

    describe("a coordinator with a schedule of which 105,120 occurrences are due", () => {
        it("runs the newest occurrence within seconds, though all others are due before it", async () => {
            const { newestStarted } = await runScenario(HeavyScenario.OverdueSchedule);
            expect(newestStarted).toBeGreaterThan(0);
        }, TIMEOUT_MS);
    });
});
