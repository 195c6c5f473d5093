import { describe, expect, it } from "@jest/globals";
import { JobState, RunEnd } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { applyRunEnd, applyRunStart, Job, openDueOccurrences } from "@sardinestage/track-jobs";
import { createQueue } from "../testing/createQueue.js";

const MAX_ATTEMPTS = 3;

// Guards against a task that was started anew beside its active run: the end of an unrecorded run of an earlier
// coordinator, reported late, has the same number.
describe("The end of a run whose number another active run has too", () => {
    function createRunningTask() {
        const spec = { payload: "", steps: [createStep()], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        const job = new Job("job", spec, createQueue({ maxAttempts: MAX_ATTEMPTS }), 0);
        openDueOccurrences(job, 0);
        const [task] = [...job.listTasks()];
        applyRunStart(task, "later", 1, 0);
        return { job, task };
    }

    it("leaves the active run alone if it failed", () => {
        const { task } = createRunningTask();
        applyRunEnd(task, { run: 1, end: RunEnd.Failed, checkpoint: "", isDuplicate: true }, 0);
        expect(task).toMatchObject({ isActive: true, workerId: "later", run: 1 });
    });

    it("counts as an attempt beside the active one, each once", () => {
        const { job, task } = createRunningTask();
        for (let report = 0; report < 3; report++) {
            applyRunEnd(task, { run: 1, end: RunEnd.Failed, checkpoint: "", isDuplicate: true }, 0);
        }
        applyRunEnd(task, { run: 1, end: RunEnd.Failed, checkpoint: "" }, 0);
        expect(job.state).toBe(JobState.Running);
        applyRunStart(task, "later", 2, 0);
        applyRunEnd(task, { run: 2, end: RunEnd.Failed, checkpoint: "" }, 0);
        expect(job.state).toBe(JobState.Failed);
    });
});
