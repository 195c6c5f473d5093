import type { JobSpec } from "@sardinestage/describe-work";
import { createRandom, createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "./coordinatorHarness.js";
import { createQueue } from "./createQueue.js";

const WORKERS = 4;
const STEP_MS = 400;
const STEPS = 45;
/** Time without faults at the end: longer than every lease, every probation and the return of an entry to the list. */
const FAULTLESS_MS = 45_000;
/** After an outage of the store shorter than this, all starts are recorded, in milliseconds. */
const RECORDED_WITHIN_MS = 4500;

/** What a scenario varies. */
interface ScenarioTraits {
    /** The most tasks of a step. */
    readonly maxWidth: number;
    readonly speculative: boolean;
    /**
     * Whether steps have so low a limit of tasks on one worker that it matters with the workers there are. Second steps
     * then have few tasks, one on each worker, so that a wrongly placed copy exceeds the limit.
     */
    readonly limitsTasksPerWorker?: boolean;
    readonly maxAttempts: number;
    /** Picks the duration of a run in milliseconds; negative for one that fails. */
    readonly pickDuration: (random: () => number) => number;
}

const usualTraits: ScenarioTraits = {
    maxWidth: 4,
    speculative: false,
    maxAttempts: 50,
    pickDuration: random => {
        const duration = 200 + random() * 2500;
        return random() < 0.08 ? -duration : duration;
    },
};

function createSpec(random: () => number, { maxWidth, speculative, limitsTasksPerWorker }: ScenarioTraits): JobSpec {
    const create = (dependsOn: number[], mostTasks: number) => {
        const taskCount = 1 + Math.floor(random() * mostTasks);
        const maxTasksPerWorker = limitsTasksPerWorker === true ? Math.ceil(taskCount / (WORKERS - 1)) : 0;
        return createStep({ taskCount, dependsOn, speculative, maxTasksPerWorker });
    };
    const steps = [create([], maxWidth), create([0], limitsTasksPerWorker === true ? WORKERS - 1 : maxWidth)];
    return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

/** Submits jobs to real coordinators while random faults happen; the run checker detects forbidden runs. */
export class FaultScenario {
    private readonly random: () => number;
    readonly harness: CoordinatorHarness;
    private jobs = 0;
    private workers = 0;
    private storeUpAtMs = 0;
    private storeDownSinceMs = -Infinity;

    private readonly traits: ScenarioTraits;

    /** @param changes In what the scenario differs from the usual one: short tasks without copies, of which some fail. */
    constructor(seed: number, changes: Partial<ScenarioTraits> = {}) {
        const traits = { ...usualTraits, ...changes };
        this.traits = traits;
        this.random = createRandom(seed);
        this.harness = new CoordinatorHarness(this.random, () => traits.pickDuration(this.random));
    }

    /** Runs the scenario, and a time without faults at its end. */

    async run(): Promise<void> {
        for (let index = 0; index < WORKERS; index++) {
            void this.harness.addWorker(`w${this.workers++}`);
        }
        await this.harness.clock.runFor(50);
        this.harness.startTerm(false);
        for (let step = 0; step < STEPS; step++) {
            this.runStep();
            await this.harness.clock.runFor(STEP_MS);
        }
        this.restoreAll();
        await this.harness.clock.runFor(FAULTLESS_MS);
    }

    private runStep(): void {
        const { harness, random, traits } = this;
        const nowMs = harness.clock.getNow();
        if (harness.store.faults.isDown && nowMs >= this.storeUpAtMs) {
            harness.store.faults.isDown = false;
        }
        const choice = Math.floor(random() * 12);
        if (choice <= 4) {
            const id = `job${this.jobs++}`;
            void harness.submit(id, createSpec(random, traits), createQueue({ maxAttempts: traits.maxAttempts }));
        }
        else if (choice === 5) {
            this.startSuccessor();
        }
        else if (choice === 6) {
            const ids = [...harness.fleet.workers.keys()];
            harness.stopWorker(ids[Math.floor(random() * ids.length)]);
            void harness.addWorker(`w${this.workers++}`);
        }
        else if (choice === 7) {
            this.injectCut();
        }
        else if (choice === 8 && !harness.store.faults.isDown) {
            harness.store.faults.isDown = true;
            this.storeDownSinceMs = nowMs;
            this.storeUpAtMs = nowMs + 500 + random() * 8000;
        }
        else if (choice === 9) {
            harness.store.faults.lostAnswerShare = random() < 0.5 ? 0.3 : 0;
        }
        else if (choice === 10) {
            harness.fleet.faults.delayedShare = random() < 0.5 ? 0.3 : 0;
            harness.fleet.faults.maxDelayMs = 6000;
        }
        else if (this.jobs > 0) {
            void harness.cancel(`job${Math.floor(random() * this.jobs)}`);
        }
    }

    /** Starts the next term, after the old coordinator was killed or while it still runs without knowing. */
    private startSuccessor(): void {
        const { harness, random } = this;
        if (random() < 0.6) {
            harness.coordinator?.close();
        }
        harness.clock.schedule(random() * 1500, () => {
            const downMs = harness.store.faults.isDown ? harness.clock.getNow() - this.storeDownSinceMs : 0;
            const wasDownLately = this.storeUpAtMs - this.storeDownSinceMs >= RECORDED_WITHIN_MS;
            harness.startTerm(downMs >= RECORDED_WITHIN_MS || wasDownLately);
        });
    }

    private injectCut(): void {
        const { harness, random } = this;
        const workers = [...harness.fleet.workers.values()];
        const worker = workers[Math.floor(random() * workers.length)];
        worker.isUnreachable = true;
        harness.clock.schedule(random() * 9000, () => worker.isUnreachable = false);
    }

    private restoreAll(): void {
        const { harness } = this;
        harness.store.faults.isDown = false;
        harness.store.faults.lostAnswerShare = 0;
        harness.fleet.faults.delayedShare = 0;
        harness.fleet.workers.forEach(worker => worker.isUnreachable = false);
    }
}
