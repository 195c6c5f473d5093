import { afterEach, beforeEach, describe, expect, it, jest } from "@jest/globals";
import type { QueueConfig, TaskRef } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { TakeoverHarness } from "./testing/takeoverHarness.js";

const VM_NAMES = ["a", "b", "c"];
const SHORT_MS = 400;
const LONG_MS = 300_000;
const CALLER_TIMEOUT_MS = 3000;
/** Time in which VMs choose a coordinator and its takeover ends, in milliseconds. */
const TAKEOVER_MS = 8000;
/** Time in which short jobs end and all VMs are told, in milliseconds. */
const SETTLE_MS = 4000;
/** Follow replies bring at most 100 facts of 9 bytes. */
const MAX_FACT_BYTES = 900;
const queue: QueueConfig = {
    name: "queue",
    host: "host",
    pathPrefix: "/queue/",
    service: "service",
    priority: 0,
    maxAttempts: 50,
    stretch: 2,
    targetLatencyMs: 1000,
};

/** Three VMs and jobs that last long or end soon, by the first digit of their ids. */
class Installation {
    readonly harness: TakeoverHarness;
    readonly longIds: string[] = [];
    readonly shortIds: string[] = [];

    constructor(random: () => number) {
        const getDuration = (task: TaskRef) => task.jobId.startsWith("a") ? LONG_MS : SHORT_MS;
        this.harness = new TakeoverHarness(random, getDuration);
    }

    async start(): Promise<void> {
        VM_NAMES.forEach(vm => this.harness.startVm(vm));
        ["w0", "w1", "w2", "w3"].forEach(worker => this.harness.addWorker(worker));
        await this.harness.clock.runFor(TAKEOVER_MS);
    }

    submitLong(): void {
        this.submit(`a${this.longIds.length.toString(16).padStart(15, "0")}`, this.longIds);
    }

    submitShort(): void {
        this.submit(`b${this.shortIds.length.toString(16).padStart(15, "0")}`, this.shortIds);
    }

    /** Stops the process that coordinates. Returns the name of its VM. */
    stopCoordinator(): string {
        const vm = this.harness.coordinator ?? "";
        this.harness.stopVm(vm);
        return vm;
    }

    /** The VM that doesn't coordinate and comes last. */
    get follower(): string {
        return this.harness.vms.filter(vm => vm !== this.harness.coordinator).at(-1) ?? "";
    }

    /** The last states that a VM knows: of the long jobs, then of the short ones. */
    listKnown(vm: string): (JobState | undefined)[] {
        const cache = this.harness.getJobStateCache(vm);
        return [...this.longIds, ...this.shortIds].map(id => cache?.findLastState(id));
    }

    /** The states that the jobs have once the long ones run and the short ones have ended. */
    listExpected(): JobState[] {
        return [...this.longIds.map(() => JobState.Running), ...this.shortIds.map(() => JobState.Completed)];
    }

    /** Asks a VM for all jobs at once; an answer after the caller's timeout doesn't count. */
    async requestStates(vm: string): Promise<unknown[]> {
        const answers: unknown[] = [];
        [...this.longIds, ...this.shortIds].forEach((id, index) => {
            void this.harness.getJobService(vm)?.getState(id, CALLER_TIMEOUT_MS).then(answer =>
                answers[index] = answer
            );
        });
        await this.harness.clock.runFor(CALLER_TIMEOUT_MS);
        return answers;
    }

    private submit(id: string, ids: string[]): void {
        ids.push(id);
        const steps = [createStep()];
        this.harness.submit(id, { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, queue);
    }
}

describe("What followers are told of jobs", () => {
    let installation: Installation;

    beforeEach(async () => {
        const random = createRandom(20261206);
        jest.spyOn(Math, "random").mockImplementation(random);
        installation = new Installation(random);
        await installation.start();
        [1, 2, 3].forEach(() => installation.submitLong());
        [1, 2, 3].forEach(() => installation.submitShort());
        await installation.harness.clock.runFor(SETTLE_MS);
    });

    afterEach(() => {
        jest.restoreAllMocks();
    });

    it("is the newest state of each job, on all VMs", () => {
        VM_NAMES.forEach(vm => expect(installation.listKnown(vm)).toEqual(installation.listExpected()));
    });

    it("answers all questions while neither the coordinator nor the store is there, however long", async () => {
        const { harness } = installation;
        harness.store.faults.isDown = true;
        installation.stopCoordinator();
        const expected = installation.listExpected().map(state => ({ state }));
        for (let asked = 0; asked < 5; asked++) {
            expect(await installation.requestStates(installation.follower)).toEqual(expected);
            await harness.clock.runFor(2000);
        }
    });

    it("comes again to a VM that restarts", async () => {
        const vm = installation.follower;
        installation.harness.stopVm(vm);
        await installation.harness.clock.runFor(1000);
        installation.harness.startVm(vm);
        expect(installation.listKnown(vm)).not.toEqual(installation.listExpected());
        await installation.harness.clock.runFor(SETTLE_MS);
        expect(installation.listKnown(vm)).toEqual(installation.listExpected());
    });

    it("comes from the next coordinator too, to those that were told before and to those that weren't", async () => {
        const { harness } = installation;
        const stopped = installation.stopCoordinator();
        installation.submitLong();
        installation.submitShort();
        await harness.clock.runFor(TAKEOVER_MS);
        harness.startVm(stopped);
        await harness.clock.runFor(SETTLE_MS);
        expect(harness.coordinator).not.toBe(stopped);
        VM_NAMES.forEach(vm => expect(installation.listKnown(vm)).toEqual(installation.listExpected()));
    });

    it("has no end that isn't in the store, and has it once it is", async () => {
        const { harness } = installation;
        installation.submitShort();
        await harness.clock.runFor(SHORT_MS / 2);
        const endedBefore = harness.runChecker.completedTasks.size;
        harness.store.faults.isDown = true;
        for (let passedMs = 0; passedMs < 3000; passedMs += 100) {
            await harness.clock.runFor(100);
            const shown = VM_NAMES.map(vm => installation.listKnown(vm).at(-1));
            expect(shown.filter(state => state !== JobState.Queued && state !== JobState.Running)).toEqual([]);
        }
        expect(harness.runChecker.completedTasks.size).toBe(endedBefore + 1);
        harness.store.faults.isDown = false;
        await harness.clock.runFor(TAKEOVER_MS + SETTLE_MS);
        VM_NAMES.forEach(vm => expect(installation.listKnown(vm)).toEqual(installation.listExpected()));
    });

    it("keeps each reply under a kilobyte, also for a VM that was told nothing", async () => {
        const { harness } = installation;
        for (let index = 0; index < 400; index++) {
            installation.submitLong();
        }
        await harness.clock.runFor(SETTLE_MS);
        const vm = installation.follower;
        harness.stopVm(vm);
        harness.startVm(vm);
        await harness.clock.runFor(SETTLE_MS);
        expect(installation.listKnown(vm)).not.toContain(undefined);
        const sizes = harness.followReplies.map(({ jobFacts }) => jobFacts?.rows?.length ?? 0);
        expect(Math.max(...sizes)).toBe(MAX_FACT_BYTES);
    });
});
