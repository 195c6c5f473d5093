import { describe, expect, it } from "@jest/globals";
import type { JobSpec, QueueConfig, StepSpec } from "@sardinestage/describe-work";
import { JobState, RunEnd } from "@sardinestage/describe-work";
import { applyProgress } from "./applyProgress.js";
import { applyProgressPart } from "./applyProgressPart.js";
import { applyRunEnd } from "./applyRunEnd.js";
import { applyRunStart } from "./applyRunStart.js";
import { decodeJobRecord } from "./decodeJobRecord.js";
import { encodeJobRecord } from "./encodeJobRecord.js";
import { encodeProgress } from "./encodeProgress.js";
import { encodeProgressPart } from "./encodeProgressPart.js";
import { Job } from "./job.js";
import { openDueOccurrences } from "./openDueOccurrences.js";
import { PartKey } from "./partKey.js";
import { TaskPhase } from "./taskPhase.js";

const NOW_MS = 1_800_000_000_000;
const STEPS = 3000;
const queue: QueueConfig = {
    name: "queue",
    host: "host",
    pathPrefix: "/",
    service: "service",
    priority: 0,
    maxAttempts: 2,
    stretch: 2,
    targetLatencyMs: 500,
};

function createStep(changes: Partial<StepSpec> = {}): StepSpec {
    return {
        taskCount: 1,
        cpuMillis: 0,
        memoryMb: 0,
        accelerators: 0,
        estimateMs: 0,
        dependsOn: [],
        savesProgress: false,
        gang: false,
        sameRack: false,
        requiredLabel: "",
        preferredRack: "",
        maxTasksPerWorker: 0,
        speculative: false,
        longRunning: false,
        image: "",
        tailLatencyTargetMs: 0,
        isBestEffort: false,
        maxUnavailable: 0,
        ...changes,
    };
}

function createSpec(changes: (index: number) => Partial<StepSpec> = () => ({})): JobSpec {
    const steps = Array.from({ length: STEPS }, (_unused, index) => createStep(changes(index)));
    return { payload: "p", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

function openJob(spec: JobSpec) {
    const job = new Job("job", spec, queue, NOW_MS);
    openDueOccurrences(job, NOW_MS);
    const occurrence = job.openOccurrences.get(0);
    if (occurrence === undefined) {
        throw new Error("The job has no open occurrence.");
    }
    return { job, occurrence };
}

function finishStep(occurrence: ReturnType<typeof openJob>["occurrence"], number: number): void {
    const task = occurrence.getStep(number).getTask(0);
    applyRunStart(task, "w1", 1, NOW_MS);
    applyRunEnd(task, { run: 1, end: RunEnd.Done, checkpoint: "" }, NOW_MS);
}

const countKnown = (occurrence: ReturnType<typeof openJob>["occurrence"]) => [...occurrence.listKnownSteps()].length;

// Guards against memory that follows the steps that a caller writes, and against a step that is lost or run again.
describe("A job of very many steps", () => {
    const chain = createSpec(index => index === 0 ? {} : { dependsOn: [index - 1] });

    it("keeps objects only of steps that can start", () => {
        const { occurrence } = openJob(chain);
        const { steps, next } = occurrence.listReadySteps(100);
        expect(steps.map(step => step.number)).toEqual([0]);
        expect(next).toBeUndefined();
        expect(countKnown(occurrence)).toBe(1);
    });

    it("drops done steps, starts the next one, and is done after the last", () => {
        const { job, occurrence } = openJob(chain);
        for (let number = 0; number < STEPS; number++) {
            expect(occurrence.listReadySteps(100).steps.map(step => step.number)).toEqual([number]);
            finishStep(occurrence, number);
            expect(countKnown(occurrence)).toBe(0);
        }
        expect(job.state).toBe(JobState.Completed);
    });

    it("shows a dropped step as done, so that a late report starts nothing", () => {
        const { occurrence } = openJob(chain);
        finishStep(occurrence, 0);
        const step = occurrence.getStep(0);
        expect(step).toMatchObject({ isDone: true, isWaiting: false });
        expect(step.getTask(0).phase).toBe(TaskPhase.Done);
        expect(countKnown(occurrence)).toBe(0);
    });

    it("lists all ready steps in turn, a part at a time", () => {
        const { occurrence } = openJob(createSpec());
        const listed = new Set<number>();
        let from: number | undefined = 0;
        for (let part = 0; part < 3; part++) {
            const list: ReturnType<typeof occurrence.listReadySteps> = occurrence.listReadySteps(1000, from);
            list.steps.forEach(step => listed.add(step.number));
            from = list.next;
        }
        expect(listed.size).toBe(STEPS);
        expect(from).toBe(0);
    });

    it("is restored by a successor with its done steps", () => {
        const { job, occurrence } = openJob(createSpec());
        finishStep(occurrence, 7);
        finishStep(occurrence, STEPS - 1);
        const successor = new Job("job", job.spec, queue, NOW_MS);
        applyProgress(successor, encodeProgress(job));
        for (const number of [7, STEPS - 1]) {
            const key = new PartKey("job", 0, number, 0);
            applyProgressPart(successor, key, encodeProgressPart(occurrence.getStep(number), key));
        }
        openDueOccurrences(successor, NOW_MS);
        const restored = successor.openOccurrences.get(0);
        expect(restored?.isStepDone(7)).toBe(true);
        expect(restored?.isStepDone(STEPS - 1)).toBe(true);
        expect(restored?.listReadySteps(STEPS).steps).toHaveLength(STEPS - 2);
    });

    it("has a record that is read as it was written, and no larger than what the caller sent", () => {
        const spec = createSpec(index => ({
            taskCount: 1 + index % 5,
            dependsOn: index % 7 === 6 ? [index - 1] : [],
            gang: index % 11 === 10,
            image: index % 13 === 12 ? "image" : "",
            maxUnavailable: index % 17 === 16 ? 1 : 0,
        }));
        const bytes = encodeJobRecord({ spec, queue, acceptedAtMs: NOW_MS });
        expect(decodeJobRecord(bytes)).toEqual({ spec, queue, acceptedAtMs: NOW_MS });
        expect(bytes.length).toBeLessThan(STEPS * 12);
    });
});
