import { describe, expect, it } from "@jest/globals";
import type { StepSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { Job, openDueOccurrences, TaskPhase } from "@sardinestage/track-jobs";
import { planStarts } from "./planStarts.js";
import { PreemptionPlanner } from "./preemptionPlanner.js";
import type { StepDemand } from "./stepDemand.js";
import type { WorkerCapacity } from "./workerCapacity.js";

const CPU_MILLIS = 4000;

const RULES = {
    maxStarts: 1000,
    maxBestEffortWaitMs: 2000,
    isAdvised: () => true,
    describePlacement: () => ({ latencyRatio: 0, isInterfering: false, similarSensitivityShare: 1 }),
};

function createDemand(changes: Partial<StepSpec>, priority: number): StepDemand {
    const spec = {
        payload: "",
        steps: [createStep({ cpuMillis: CPU_MILLIS, ...changes })],
        repeatCount: 0,
        firstRunMs: 0,
        intervalMs: 0,
    };
    const queue = {
        name: "queue",
        host: "host",
        pathPrefix: "/",
        service: "service",
        priority,
        maxAttempts: 3,
        stretch: 2,
        targetLatencyMs: 1000,
    };
    const job = new Job("job", spec, queue, 1);
    openDueOccurrences(job, 1);
    const [step] = [...job.openOccurrences.values()][0].steps;
    const times = { isStarted: false, remainingMs: 0, waitedMs: 0, slackMs: 0, lateSlackMs: 0 };
    return { step, waiting: step.tasks, ...times };
}

/** Creates a worker whose capacity is all used by one task of a lower priority, which runs to completion. */
function createFullWorker(): WorkerCapacity {
    return {
        workerId: "worker",
        service: "service",
        rack: "",
        labels: [],
        capacityCpuMillis: CPU_MILLIS,
        freeCpuMillis: 0,
        runToCompletionCpuMillis: CPU_MILLIS,
        runToCompletionWork: 0,
        freeMemoryMb: 64_000,
        freeAccelerators: 0,
        bestEffortCpuMillis: 0,
        servingTasks: [],
        bestEffortSpecs: [],
        startsLeft: 1000,
        isReserved: false,
    };
}

describe("PreemptionPlanner", () => {
    describe("when a worker is reserved for an interrupted long-running task until its present work ends", () => {
        function planRound() {
            const interrupted = createDemand({ longRunning: true }, 0);
            interrupted.waiting[0].run = 1;
            const running = createDemand({}, 2);
            running.waiting[0].phase = TaskPhase.Running;
            const workers = [createFullWorker()];
            const { unmet } = planStarts([interrupted], workers, RULES);
            expect(unmet).toEqual([interrupted]);
            expect(workers[0].isReserved).toBe(true);
            const planner = new PreemptionPlanner(workers, () => running.waiting, RULES.isAdvised);
            return { interrupted, running, planner };
        }

        it("preempts that work for the task, since it may take long to end", () => {
            const { interrupted, running, planner } = planRound();
            expect(planner.plan(interrupted)?.victims).toEqual(running.waiting);
        });

        it("preempts nothing there for other tasks", () => {
            const { planner } = planRound();
            expect(planner.plan(createDemand({}, 0))).toBeUndefined();
        });
    });
});
