import { describe, expect, it, jest } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { silentLogger } from "@sardinestage/log-events";
import { applyCancel, applyRunLost, applyRunStart, Job, openDueOccurrences } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import { createQueue } from "../testing/createQueue.js";
import { createTrackedWorker } from "../testing/createTrackedWorker.js";
import { JobFinisher } from "./jobFinisher.js";

const TASKS = 50;

/** Creates a job whose tasks all run on one worker. */
function createActiveJob(): Job {
    const spec: JobSpec = {
        payload: "",
        steps: [createStep({ taskCount: TASKS })],
        repeatCount: 0,
        firstRunMs: 0,
        intervalMs: 0,
    };
    const job = new Job("job", spec, createQueue(), 0);
    openDueOccurrences(job, 0);
    [...job.listTasks()].forEach(task => applyRunStart(task, "w", 1, 0));
    return job;
}

// Guards against work that grows with the square of a job's tasks: leases lapsed while a large job was cancelled.
describe("JobFinisher", () => {
    describe("when a job with many active tasks is cancelled", () => {
        it("stops each of them once, and goes through the job's tasks only once while their ends come in", () => {
            const job = createActiveJob();
            const tasks = [...job.listTasks()];
            const sendStop = jest.fn();
            const finisher = new JobFinisher(
                { logger: silentLogger, metrics: new Metrics() } as CoordinatorParts,
                {
                    fleet: { workers: new Map([["w", createTrackedWorker("w")]]) },
                    orders: { sendStop },
                    recorder: { recordJob: () => undefined },
                    writer: { runWhenRecorded: () => undefined },
                } as unknown as ConstructorParameters<typeof JobFinisher>[1],
            );
            applyCancel(job, 1);
            const listTasks = jest.spyOn(job, "listKnownTasks");
            finisher.handleChange(job);
            for (const task of tasks) {
                applyRunLost(task);
                finisher.handleChange(job);
            }
            expect(sendStop).toHaveBeenCalledTimes(TASKS);
            expect(listTasks).toHaveBeenCalledTimes(1);
        });
    });
});
