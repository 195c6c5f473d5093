import type { JobSpec, TaskRef } from "@sardinestage/describe-work";
import { JobState } from "@sardinestage/describe-work";
import { createRandom, createStep, LateCallReach } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "./coordinatorHarness.js";
import { createQueue } from "./createQueue.js";
import { RestartHazard } from "./restartHazard.js";

/** Length of the part of a play in which things happen, in milliseconds. */
const EVENTFUL_MS = 20_000;
const STEP_MS = 100;
/** Time without faults at the end: longer than late orders, leases, probations and the wait for silent workers. */
const FAULTLESS_MS = 45_000;
const MAX_DELAY_MS = 250;
/** A call without an answer is given up after 600 ms, so late orders are 2 to 12 s late. */
const MIN_LATE_MS = 1400;
const MAX_LATE_MS = 11_400;
const FOREVER_MS = 600_000;
/** Time of the coordinator's thread that a call takes at most, in milliseconds. */
const MAX_CALL_COST_MS = 5;
/** Longest time for which the entry of a worker that is up is missing, in milliseconds. */
const MAX_MISSING_MS = 1900;
/** Longest outage of the store, in milliseconds; starts wait for the store that long, so that all are recorded. */
const MAX_OUTAGE_MS = 4000;

/**
 * A play of one coordinator or several, whose workers restart under their ids while jobs keep coming. Whether a task ran
 * twice is told by the harness's run checker.
 */
export class RestartScenario {
    readonly harness: CoordinatorHarness;
    private readonly random: () => number;
    private readonly workerIds: readonly string[];
    private jobs = 0;
    private isEventful = true;

    constructor(seed: number, private readonly hazards: readonly RestartHazard[]) {
        this.random = createRandom(seed);
        this.harness = new CoordinatorHarness(this.random, task => this.pickDuration(task));
        this.workerIds = ["w0", "w1", "w2", "w3"].slice(0, this.random() < 0.5 ? 3 : 4);
    }

    /** Plays from the workers' first start to the end of the time without faults. */
    async run(): Promise<void> {
        const { harness, random } = this;
        this.workerIds.forEach(id => this.addWorker(id));
        await harness.clock.runFor(50);
        harness.callCostMs = this.has(RestartHazard.BusyThread) ? random() * MAX_CALL_COST_MS : 0;
        harness.startTerm(false);
        this.setFaults();
        const restarts = 6 + Math.floor(random() * 5);
        for (let restart = 0; restart < restarts; restart++) {
            harness.clock.schedule(random() * EVENTFUL_MS, () => this.resetWorker(this.pickWorker()));
        }
        for (let step = 0; step < EVENTFUL_MS / STEP_MS; step++) {
            this.runStep();
            await harness.clock.runFor(STEP_MS);
        }
        this.isEventful = false;
        this.removeFaults();
        await harness.clock.runFor(FAULTLESS_MS);
    }

    /** Lists the promises that were broken: forbidden runs, jobs that aren't completed, lasting tasks that don't run. */
    async listFailures(): Promise<readonly string[]> {
        const { harness } = this;
        const failures = [...harness.runChecker.violations];
        let lastingTasks = 0;
        for (const [id, spec] of harness.specs) {
            if (harness.cancelled.has(id)) {
                continue;
            }
            const isLasting = spec.steps[0].longRunning;
            const state = await Promise.race([
                harness.coordinator?.getState(id),
                harness.clock.runFor(100).then(() => "unanswered"),
            ]);
            lastingTasks += isLasting ? spec.steps[0].taskCount : 0;
            if (state !== (isLasting ? JobState.Running : JobState.Completed)) {
                failures.push(`${id} is ${state === undefined ? "unknown" : `in state ${state}`}`);
            }
        }
        const runs = harness.runChecker.countActiveRuns();
        return runs === lastingTasks ? failures : [...failures, `${runs} runs of ${lastingTasks} lasting tasks`];
    }

    private setFaults(): void {
        const delays = { maxDeliveryMs: MAX_DELAY_MS, maxAnswerMs: MAX_DELAY_MS };
        Object.assign(this.harness.fleet.faults, {
            startDelays: delays,
            stopDelays: delays,
            renewalDelays: delays,
            lostAnswerShare: this.has(RestartHazard.LostAnswers) ? 0.05 : 0,
            delayedShare: this.has(RestartHazard.LateOrders) ? 0.05 : 0,
            delayedRenewalShare: this.has(RestartHazard.LateOrders) ? 0.02 : 0,
            minDelayMs: MIN_LATE_MS,
            maxDelayMs: MAX_LATE_MS,
            lateCallReach: this.chooseLateCallReach(),
            unhealthyShare: this.has(RestartHazard.OddWorkers) ? 0.03 : 0,
        });
    }

    private chooseLateCallReach(): LateCallReach {
        if (this.has(RestartHazard.NewLife)) {
            return LateCallReach.AnyLife;
        }
        return this.has(RestartHazard.RenewedLife) ? LateCallReach.RenewedLife : LateCallReach.SameLife;
    }

    private removeFaults(): void {
        const { harness } = this;
        const noDelays = { maxDeliveryMs: 0, maxAnswerMs: 0 };
        Object.assign(harness.fleet.faults, {
            startDelays: noDelays,
            stopDelays: noDelays,
            renewalDelays: noDelays,
            lostAnswerShare: 0,
            delayedShare: 0,
            delayedRenewalShare: 0,
            unhealthyShare: 0,
        });
        Object.assign(harness.store.faults, { isDown: false, lostAnswerShare: 0 });
        harness.fleet.workers.forEach(worker => worker.isUnreachable = false);
    }

    private runStep(): void {
        const { harness, random } = this;
        if (random() < 0.3) {
            const id = `job${this.jobs++}`;
            void harness.submit(id, this.createSpec(), createQueue({ maxAttempts: 1000 }));
        }
        if (this.has(RestartHazard.Takeovers) && random() < 0.01) {
            this.startSuccessor();
        }
        if (this.has(RestartHazard.Cancellations) && random() < 0.03 && this.jobs > 0) {
            void harness.cancel(`job${Math.floor(random() * this.jobs)}`);
        }
        if (this.has(RestartHazard.Cuts) && random() < 0.015) {
            this.injectCut(this.pickWorker());
        }
        if (this.has(RestartHazard.MissingEntries) && random() < 0.02) {
            const id = this.pickWorker();
            void harness.withdrawEntry(id);
            harness.clock.schedule(random() * MAX_MISSING_MS, () => {
                if (harness.fleet.workers.has(id)) {
                    void harness.publishEntry(id);
                }
            });
        }
        if (this.has(RestartHazard.StoreFaults) && random() < 0.01) {
            this.injectStoreFaults();
        }
    }

    private createSpec(): JobSpec {
        const { random } = this;
        const createTasks = (changes = {}) => createStep({ taskCount: 1 + Math.floor(random() * 3), ...changes });
        const kind = random();
        const steps = kind < 0.1
            ? [createTasks({ longRunning: true })]
            : kind < 0.3
            ? [createTasks(), createTasks({ dependsOn: [0] })]
            : [createTasks()];
        return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
    }

    private pickDuration(task: TaskRef): number {
        const { random } = this;
        if (this.harness.specs.get(task.jobId)?.steps[task.step].longRunning === true) {
            return this.isEventful && random() < 0.2 ? -random() * 5000 : FOREVER_MS;
        }
        const duration = 100 + random() * 2400;
        return random() < 0.08 ? -duration : duration;
    }

    private pickWorker(): string {
        return this.workerIds[Math.floor(this.random() * this.workerIds.length)];
    }

    private addWorker(id: string): void {
        this.setTraits();
        void this.harness.addWorker(id);
    }

    /** Restarts a worker, at once or after a pause, and some workers once more soon after. */
    private resetWorker(id: string): void {
        const { harness, random } = this;
        if (!harness.fleet.workers.has(id)) {
            return;
        }
        this.setTraits();
        const pauseMs = random() < 0.6 ? 1 : random() * 3000;
        harness.resetWorker(id, pauseMs);
        if (random() < 0.25) {
            harness.clock.schedule(pauseMs + random() * 400, () => {
                if (harness.fleet.workers.has(id)) {
                    harness.resetWorker(id);
                }
            });
        }
    }

    private setTraits(): void {
        const { harness, random } = this;
        if (this.has(RestartHazard.OddWorkers)) {
            const getDemand = (task: TaskRef) => harness.specs.get(task.jobId)?.steps[task.step] ?? createStep();
            harness.workerTraits = {
                clockRate: 0.98 + random() * 0.02,
                getDemand: random() < 0.5 ? getDemand : undefined,
            };
        }
    }

    private injectCut(id: string): void {
        const { harness, random } = this;
        const cut = harness.fleet.workers.get(id);
        if (cut === undefined) {
            return;
        }
        const lengthMs = 300 + random() * 8000;
        cut.isUnreachable = true;
        if (random() < 0.5) {
            harness.clock.schedule(random() * lengthMs, () => this.resetWorker(id));
        }
        harness.clock.schedule(lengthMs, () => {
            Object.assign(harness.fleet.workers.get(id) ?? cut, { isUnreachable: false });
            cut.isUnreachable = false;
        });
    }

    private injectStoreFaults(): void {
        const { harness, random } = this;
        const { faults } = harness.store;
        faults.lostAnswerShare = 0.2;
        faults.isDown = random() < 0.5;
        harness.clock.schedule(random() * MAX_OUTAGE_MS, () => {
            faults.isDown = false;
            faults.lostAnswerShare = 0;
        });
    }

    /** Starts the next term, after the old coordinator was killed or while it still runs without knowing. */
    private startSuccessor(): void {
        const { harness, random } = this;
        if (random() < 0.6) {
            harness.coordinator?.close();
        }
        harness.clock.schedule(random() * 1500, () => harness.startTerm(false));
    }

    private has(hazard: RestartHazard): boolean {
        return this.hazards.includes(hazard);
    }
}
