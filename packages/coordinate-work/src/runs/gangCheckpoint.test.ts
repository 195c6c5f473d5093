import { describe, expect, it } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { encodeProgress, Job, openDueOccurrences, TaskPhase } from "@sardinestage/track-jobs";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FIXED_RANDOM = () => 0.5;
const MEMBERS = 6;

// Guards against members of a gang that resume from checkpoints of their own, at different points of the work.
describe("A gang whose members saved different checkpoints", () => {
    it("is started again with one of them for all members", async () => {
        const harness = new CoordinatorHarness(FIXED_RANDOM, () => 60_000);
        const { clock } = harness;
        const steps = [createStep({ taskCount: MEMBERS, gang: true, savesProgress: true })];
        const spec: JobSpec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        const earlier = new Job("job", spec, createQueue(), clock.getWallTime());
        openDueOccurrences(earlier, clock.getWallTime());
        for (const task of earlier.listTasks()) {
            task.phase = TaskPhase.Running;
            task.run = 1;
            task.checkpoint = `saved-${task.index}`;
            task.phase = TaskPhase.Waiting;
        }
        void harness.addWorker("w");
        void harness.appendUntilConfirmed(Topic.Progress, { key: "job", value: encodeProgress(earlier) });
        void harness.submit("job", spec, createQueue());
        await clock.runFor(50);
        harness.startTerm(false);
        await clock.runFor(3000);
        const report = harness.fleet.renewLease({ id: "w", address: "w", domain: "here" }, {
            fence: 99,
            lastRecordedEnd: 0,
            leaseUntilMs: undefined,
            waitMs: 0,
            bornMs: 0,
        });
        await clock.runFor(50);
        const { running } = await report;
        expect(running).toHaveLength(MEMBERS);
        expect(new Set(running.map(run => run.checkpoint)).size).toBe(1);
        expect(running[0].checkpoint).toMatch(/^saved-/);
    });
});
