import type { JobSpec, QueueConfig, StepSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { Job, openDueOccurrences } from "@sardinestage/track-jobs";
import type { StepDemand } from "../stepDemand.js";
import type { WorkerCapacity } from "../workerCapacity.js";

const NOW_MS = 1_800_000_000_000;

let jobCount = 0;

function createDemand(
    step: Partial<StepSpec>,
    changes: Partial<StepDemand> = {},
    queue: Partial<QueueConfig> = {},
): StepDemand {
    const spec: JobSpec = { payload: "", steps: [createStep(step)], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
    const config: QueueConfig = {
        name: "queue",
        host: "",
        pathPrefix: "",
        service: "service",
        priority: 0,
        maxAttempts: 3,
        stretch: 2,
        targetLatencyMs: 500,
        ...queue,
    };
    const job = new Job(`job${jobCount++}`, spec, config, NOW_MS);
    openDueOccurrences(job, NOW_MS);
    const run = job.openOccurrences.get(0)?.steps[0];
    if (run === undefined) {
        throw new Error("The first occurrence of the job isn't open.");
    }
    return {
        step: run,
        waiting: run.tasks,
        isStarted: false,
        remainingMs: 1000,
        waitedMs: 0,
        slackMs: 1000,
        lateSlackMs: 5000,
        ...changes,
    };
}

function createWorker(workerId: string, changes: Partial<WorkerCapacity> = {}): WorkerCapacity {
    return {
        workerId,
        service: "service",
        rack: "rack",
        labels: ["kind", "rack"],
        capacityCpuMillis: 16_000,
        freeCpuMillis: 16_000,
        runToCompletionCpuMillis: 0,
        runToCompletionWork: 0,
        freeMemoryMb: 64_000,
        freeAccelerators: 0,
        bestEffortCpuMillis: 0,
        servingTasks: [],
        bestEffortSpecs: [],
        startsLeft: 1000,
        isReserved: false,
        ...changes,
    };
}

const rules = {
    maxStarts: 1000,
    maxBestEffortWaitMs: 2000,
    isAdvised: () => true,
    describePlacement: () => ({ latencyRatio: 0, isInterfering: false, similarSensitivityShare: 1 }),
};

/** Demands of a job with one step, workers that are free, and rules that allow every placement. */
export const planFixture = { createDemand, createWorker, rules };
