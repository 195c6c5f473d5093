import { describe, expect, it } from "@jest/globals";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import { createTrackedWorker } from "../testing/createTrackedWorker.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { buildWorkerRules } from "./buildWorkerRules.js";
import { buildWorkerSpeeds } from "./buildWorkerSpeeds.js";

const RUNS = 10;

/** Creates a worker on which tasks took so many times as long as expected. */
function createWorker(id: string, ratio: number, coldRemainingMs = 0): TrackedWorker {
    const worker = createTrackedWorker(id);
    worker.coldPhase.noteEntry({ ...worker.entry, coldRemainingMs }, 0);
    for (let run = 0; run < RUNS; run++) {
        worker.slowness.learnRatio(ratio, 0);
    }
    return worker;
}

describe("The speeds of workers", () => {
    it("list those that are slow or cold", () => {
        const workers = [createWorker("slow", 3), createWorker("usual", 1.1), createWorker("cold", 0.9, 5000)];
        const speeds = buildWorkerSpeeds(workers, 1);
        expect([...speeds?.uneven.keys() ?? []]).toEqual(["slow", "cold"]);
        expect(speeds?.uneven.get("cold")).toEqual({ slowness: 1, isCold: true });
        expect(speeds?.worstSlowness).toBeGreaterThan(2);
    });

    // Guards against work that is placed in another way after a takeover, when nothing is known.
    it("are undefined if no worker is known to be slow or cold", () => {
        expect(buildWorkerSpeeds([createTrackedWorker("w0"), createWorker("usual", 1.1)], 1)).toBeUndefined();
    });

    // Guards against a worker that is avoided for good since one measurement was absurd.
    it("forget within seconds, also after a jump", () => {
        expect(buildWorkerSpeeds([createWorker("slow", 3)], 30_000)).toBeUndefined();
        const worker = createTrackedWorker("jumped");
        worker.slowness.learnRatio(1e9, 0);
        expect(buildWorkerSpeeds([worker], 0)).toBeDefined();
        expect(buildWorkerSpeeds([worker], 30_000)).toBeUndefined();
    });

    // Guards against plans that change although the feature is off.
    it("are used only with the feature on", () => {
        const workers = new Map([["slow", createWorker("slow", 3, 5000)]]);
        const others = { ...noSchedulingFeatures, copiesSlowTasks: true, protectsLastAttempts: true };
        expect(buildWorkerRules(workers, noSchedulingFeatures, 1)).toEqual({});
        expect(buildWorkerRules(workers, others, 1)).not.toHaveProperty("speeds");
        expect(buildWorkerRules(workers, { ...noSchedulingFeatures, prefersFastWorkers: true }, 1)).toHaveProperty(
            "speeds",
        );
    });
});
