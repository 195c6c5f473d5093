import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import type { Task } from "@sardinestage/track-jobs";
import { applyRunLost, applyRunStart, encodeJobRecord, TaskPhase } from "@sardinestage/track-jobs";
import { createQueue } from "../testing/createQueue.js";
import { JobRegistry } from "./jobRegistry.js";

/** Creates a registry with one job whose tasks are all active. */
function createRegistry(): { registry: JobRegistry; tasks: Task[] } {
    const registry = new JobRegistry();
    const spec = { payload: "", steps: [createStep({ taskCount: 3 })], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
    const value = encodeJobRecord({ spec, queue: createQueue(), acceptedAtMs: 0 });
    const job = registry.addJob({ key: "job", value });
    registry.listReady(0);
    const tasks = [...job?.listTasks() ?? []];
    tasks.forEach(task => applyRunStart(task, "w", 1, 0));
    return { registry, tasks };
}

describe("JobRegistry", () => {
    describe("when tasks are throttled", () => {
        it("lists them, the longest throttled first, in any active phase", () => {
            const { registry, tasks } = createRegistry();
            tasks[2].pace = 0;
            tasks[0].pace = 20;
            tasks[2].phase = TaskPhase.Running;
            expect(registry.listThrottled()).toEqual([tasks[2], tasks[0]]);
            expect(registry.listThrottled()).toEqual([tasks[2], tasks[0]]);
        });

        it("stops listing them once they are back at full pace, and lists them when they are throttled again", () => {
            const { registry, tasks } = createRegistry();
            tasks[0].pace = 0;
            tasks[0].pace = 100;
            expect(registry.listThrottled()).toEqual([]);
            tasks[0].pace = 50;
            expect(registry.listThrottled()).toEqual([tasks[0]]);
        });

        it("stops listing them once their run is lost, and doesn't list them when the next run begins", () => {
            const { registry, tasks } = createRegistry();
            tasks[0].pace = 0;
            applyRunLost(tasks[0]);
            expect(registry.listThrottled()).toEqual([]);
            applyRunStart(tasks[0], "w", 2, 0);
            expect(registry.listThrottled()).toEqual([]);
        });
    });
});
