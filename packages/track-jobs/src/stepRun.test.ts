import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import { Job } from "./job.js";

const queue = {
    name: "queue",
    host: "host",
    pathPrefix: "/",
    service: "service",
    priority: 0,
    maxAttempts: 3,
    stretch: 2,
    targetLatencyMs: 1000,
};

describe("StepRun", () => {
    // Guards against a question about a large step that leaves an object for each of its tasks.
    it("collects the waiting tasks that it would list, without keeping them", () => {
        const spec = {
            payload: "",
            steps: [createStep({ taskCount: 9 })],
            repeatCount: 0,
            firstRunMs: 0,
            intervalMs: 0,
        };
        const [step] = new Job("job", spec, queue, 0).addOccurrence(0).steps;
        step.getTask(2);
        const collected = step.collectWaiting(4).map(({ index }) => index);
        expect([...step.listKnown()].map(({ index }) => index)).toEqual([2]);
        expect(step.collectWaiting(100)).toHaveLength(9);
        expect(collected).toEqual(step.listWaiting(4).map(({ index }) => index));
    });
});
