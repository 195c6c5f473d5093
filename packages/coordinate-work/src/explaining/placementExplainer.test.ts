import { describe, expect, it } from "@jest/globals";
import type { JobSpec, StepSpec } from "@sardinestage/describe-work";
import { ExplainOutcome } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { noSchedulingFeatures } from "../noSchedulingFeatures.js";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const SEED = 5;
const RUN_MS = 60_000;
/** Above the least time between two explanations, in milliseconds. */
const NEXT_QUESTION_MS = 300;

function createSpec(...steps: readonly Partial<StepSpec>[]): JobSpec {
    return { payload: "", steps: steps.map(createStep), repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

async function startHarness(reservesCapacity = false): Promise<CoordinatorHarness> {
    const harness = new CoordinatorHarness(createRandom(SEED), () => RUN_MS);
    harness.features = { ...noSchedulingFeatures, reservesCapacity };
    ["w0", "w1", "w2"].forEach(id => void harness.addWorker(id));
    harness.workerTraits = { clockRate: 1, getDemand: undefined, domain: "left" };
    void harness.addWorker("w3");
    await harness.clock.runFor(50);
    harness.startTerm(false);
    await harness.clock.runFor(1000);
    return harness;
}

/** Describes all that a coordinator keeps, ordinary fields and collections alike; a cycle ends at the known object. */
function describeState(root: unknown): string {
    const numbers = new Map<object, number>();
    return JSON.stringify(root, (key, value: unknown) => {
        // The rate limit is the one thing that a question may change; the clock and the store belong to the harness.
        if (key === "explainedAtMs" || key === "clock" || key === "store") {
            return undefined;
        }
        if (typeof value !== "object" || !value) {
            return typeof value === "number" ? String(value) : value;
        }
        const known = numbers.get(value);
        if (known !== undefined) {
            return `#${known}`;
        }
        numbers.set(value, numbers.size);
        return value instanceof Map || value instanceof Set ? [...value] as unknown[] : value;
    });
}

describe("PlacementExplainer", () => {
    describe("for a job that isn't submitted", () => {
        it("says where its tasks would start, and why", async () => {
            const { coordinator } = await startHarness();
            const spec = createSpec({ taskCount: 2, cpuMillis: 2000, preferredRack: "rack" }, { dependsOn: [0] });
            const answer = coordinator?.explainer.explain({ spec, queue: createQueue() });
            expect(answer).toMatchObject({ outcome: ExplainOutcome.Explained, mayStart: true });
            expect(answer?.steps[0].placements.flatMap(({ tasks }) => tasks).sort()).toEqual([0, 1]);
            expect(answer?.steps[0].placements[0].reasons).toContain("in the preferred rack rack");
            expect(answer?.steps[0]).toMatchObject({ candidateCount: 4, ruledOut: [] });
            expect(answer?.steps[1]).toMatchObject({ waitsForSteps: [0], placements: [] });
        });

        it("counts the ruled-out workers by reason, and says why tasks wait", async () => {
            const harness = await startHarness();
            harness.evacuations.applyRecord({ domain: "left", isEvacuated: true }, 1, "store");
            void harness.drainWorker("w0");
            await harness.clock.runFor(NEXT_QUESTION_MS);
            const spec = createSpec({ cpuMillis: 1_000_000 });
            const answer = harness.coordinator?.explainer.explain({ spec, queue: createQueue() });
            expect(answer?.steps[0]).toMatchObject({ placements: [], waitReason: "too little free processor" });
            expect(answer?.steps[0].ruledOut).toEqual([
                { reason: "draining", workers: 1 },
                { reason: "in an evacuated failure domain", workers: 1 },
                { reason: "too little free processor", workers: 2 },
            ]);
        });

        // Guards against an answer, or a plan, as long as a large job.
        it("places a bounded number of tasks, and bounds the steps", async () => {
            const { coordinator } = await startHarness();
            const steps = Array.from({ length: 20 }, () => ({ taskCount: 100_000, cpuMillis: 1, memoryMb: 0 }));
            const answer = coordinator?.explainer.explain({ spec: createSpec(...steps), queue: createQueue() });
            expect(answer?.steps.flatMap(step => step.placements.flatMap(({ tasks }) => tasks))).toHaveLength(200);
            expect(answer?.steps).toHaveLength(8);
            expect(answer?.leftOutCount).toBe(12);
        });
    });

    describe("for an accepted job", () => {
        // Guards against a question that creates tasks, takes or reserves capacity, or has anything ordered or recorded.
        it.each([false, true])("changes no state (capacity planned ahead: %s)", async reservesCapacity => {
            const harness = await startHarness(reservesCapacity);
            void harness.submit("full", createSpec({ taskCount: 100, cpuMillis: 5000 }), createQueue());
            void harness.submit("gang", createSpec({ taskCount: 40, cpuMillis: 5000, gang: true }), createQueue());
            void harness.submit("many", createSpec({ taskCount: 5000, cpuMillis: 5000 }), createQueue());
            await harness.clock.runFor(2000);
            // Tasks that would fit wait, as nothing may be started.
            harness.hasAuthority = false;
            void harness.submit("held", createSpec({ taskCount: 300, cpuMillis: 1, memoryMb: 1 }), createQueue());
            await harness.clock.runFor(500);
            const { coordinator, events, fleet, store } = harness;
            const [state, eventCount] = [describeState([coordinator, store, fleet]), events.length];
            const answers = ["full", "gang", "many", "held"].map(id => {
                Object.assign(coordinator?.explainer ?? {}, {
                    explainedAtMs: -Infinity,
                });
                return coordinator?.explainer.explain({ id });
            });
            expect(answers.map(answer => answer?.steps[0].waitReason)).not.toContain(undefined);
            expect(answers[3]).toMatchObject({ mayStart: false });
            expect(answers[3]?.steps[0].placements.flatMap(({ tasks }) => tasks)).toHaveLength(200);
            expect(describeState([coordinator, store, fleet])).toBe(state);
            expect(state).toContain("gang");
            expect(events).toHaveLength(eventCount);
        });

        it("knows neither an unknown nor a finished job", async () => {
            const harness = await startHarness();
            void harness.submit("done", createSpec({}), createQueue());
            await harness.clock.runFor(500);
            void harness.cancel("done");
            await harness.clock.runFor(3000);
            expect(harness.coordinator?.explainer.explain({ id: "none" }).outcome).toBe(ExplainOutcome.UnknownJob);
            await harness.clock.runFor(NEXT_QUESTION_MS);
            expect(harness.coordinator?.explainer.explain({ id: "done" }).outcome).toBe(ExplainOutcome.JobFinished);
        });

        it("refuses questions that come too often", async () => {
            const { coordinator } = await startHarness();
            coordinator?.explainer.explain({ id: "none" });
            expect(coordinator?.explainer.explain({ id: "none" }).outcome).toBe(ExplainOutcome.TooOften);
        });
    });
});
