import { describe, expect, it } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorCallKind } from "./coordinatorCallKind.js";
import { SubmitOutcome } from "./submitOutcome.js";
import { jobFixture } from "./testing/jobFixture.js";
import { JobServiceHarness } from "./testing/jobServiceHarness.js";

const CALLER_TIMEOUT_MS = 3000;
/** Room for a few small jobs, in bytes. */
const LITTLE_ROOM = 20_000;
const MUCH_ROOM = 10_000_000;
const LARGE_STEPS = 3000;
const { createId, queue, spec } = jobFixture;
const largeSpec = { ...spec, steps: Array.from({ length: LARGE_STEPS }, () => createStep()) };

function createHarness(freeJobBytes: number | undefined, coordinator?: JobServiceHarness["coordinator"]) {
    const harness = new JobServiceHarness({ freeJobBytes });
    harness.coordinator = coordinator ?? (() => Promise.resolve({ isRefused: true }));
    return harness;
}

async function submit(harness: JobServiceHarness, number: number, job = spec) {
    const id = createId(number);
    const { result, tookMs } = await harness.runUntilSettled(
        harness.jobService.submit(id, queue, job, CALLER_TIMEOUT_MS),
    );
    const { records } = (await harness.runUntilSettled(harness.store.readNewest(Topic.Jobs, undefined))).result;
    return { outcome: result, tookMs, isStored: records.some(({ key }) => key === id) };
}

function countQuestions(harness: JobServiceHarness): number {
    return harness.calls.filter(({ kind }) => kind === CoordinatorCallKind.Admit).length;
}

// Guards against refusals that aren't true, and against jobs that wait for a coordinator that they don't need.
describe("A VM that accepts jobs", () => {
    it("writes nothing of a large job that the coordinator has no room for", async () => {
        const harness = createHarness(MUCH_ROOM);
        expect(await submit(harness, 1, largeSpec)).toMatchObject({ outcome: SubmitOutcome.NoRoom, isStored: false });
    });

    it("doesn't say that a large job never runs if the coordinator can't tell, and writes nothing of it", async () => {
        const harness = createHarness(MUCH_ROOM, () => Promise.resolve({ isRefused: true, isUnsure: true }));
        expect(await submit(harness, 1, largeSpec)).toMatchObject({ outcome: SubmitOutcome.Unknown, isStored: false });
    });

    it("accepts a large job that the coordinator has room for", async () => {
        const harness = createHarness(MUCH_ROOM, () => Promise.resolve({ isRefused: false }));
        expect(await submit(harness, 1, largeSpec)).toMatchObject({ outcome: SubmitOutcome.Accepted, isStored: true });
        expect(countQuestions(harness)).toBe(1);
    });

    it("accepts small jobs without a question while there is room", async () => {
        const harness = createHarness(MUCH_ROOM);
        for (let number = 1; number <= 20; number++) {
            expect(await submit(harness, number)).toMatchObject({ outcome: SubmitOutcome.Accepted });
        }
        expect(countQuestions(harness)).toBe(0);
    });

    it("asks about small jobs when those that it has just accepted may have used the room up", async () => {
        const harness = createHarness(LITTLE_ROOM);
        const outcomes: SubmitOutcome[] = [];
        for (let number = 1; number <= 20; number++) {
            outcomes.push((await submit(harness, number)).outcome);
        }
        expect(outcomes[0]).toBe(SubmitOutcome.Accepted);
        expect(outcomes.at(-1)).toBe(SubmitOutcome.NoRoom);
    });

    it("tells the coordinator the queue and the address that a job comes from", async () => {
        const harness = createHarness(MUCH_ROOM, () => Promise.resolve({ isRefused: false }));
        const address = "10.0.0.1";
        await harness.runUntilSettled(
            harness.jobService.submit(createId(1), queue, largeSpec, CALLER_TIMEOUT_MS, address),
        );
        expect(harness.calls).toContainEqual(
            expect.objectContaining({ kind: CoordinatorCallKind.Admit, queue: queue.name, address }),
        );
    });

    it("asks about each small job when the coordinator has told of no room", async () => {
        const harness = createHarness(0, () => Promise.resolve({ isRefused: false }));
        expect(await submit(harness, 1)).toMatchObject({ outcome: SubmitOutcome.Accepted });
        expect(await submit(harness, 2)).toMatchObject({ outcome: SubmitOutcome.Accepted });
        expect(countQuestions(harness)).toBe(2);
    });

    it("logs refusals at most once a second", async () => {
        const harness = createHarness(MUCH_ROOM);
        await Promise.all(Array.from({ length: 20 }, (_unused, index) => submit(harness, index, largeSpec)));
        expect(harness.events.filter(({ event }) => event === "job-refused")).toHaveLength(1);
    });

    it("doesn't refuse a job that it has accepted before", async () => {
        const harness = createHarness(MUCH_ROOM, () => Promise.resolve({ isRefused: false }));
        await submit(harness, 1, largeSpec);
        harness.coordinator = () => Promise.resolve({ isRefused: true });
        expect((await submit(harness, 1, largeSpec)).outcome).toBe(SubmitOutcome.Accepted);
    });

    describe.each([
        { name: "doesn't answer", coordinator: undefined },
        { name: "isn't known", coordinator: () => Promise.resolve({ isUnsent: true }) },
        { name: "is taking over", coordinator: () => Promise.resolve({ isUnsure: true }) },
        { name: "is of an earlier version", coordinator: () => Promise.resolve(undefined) },
    ])("when the coordinator $name", ({ coordinator }) => {
        it("accepts a large job, in time", async () => {
            const harness = createHarness(MUCH_ROOM);
            harness.coordinator = coordinator ?? ((_call, timeoutMs) => harness.waitUnanswered(timeoutMs));
            const { outcome, tookMs } = await submit(harness, 1, largeSpec);
            expect(outcome).toBe(SubmitOutcome.Accepted);
            expect(tookMs).toBeLessThan(CALLER_TIMEOUT_MS / 2);
        });
    });

    it("accepts all jobs without a question while no coordinator tells of its room", async () => {
        const harness = createHarness(undefined);
        expect((await submit(harness, 1, largeSpec)).outcome).toBe(SubmitOutcome.Accepted);
        expect(countQuestions(harness)).toBe(0);
    });
});
