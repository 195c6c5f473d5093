import type { StepSpec } from "@sardinestage/describe-work";
import type { StartRules } from "@sardinestage/plan-starts";
import { planStarts } from "@sardinestage/plan-starts";
import type { Task } from "@sardinestage/track-jobs";
import { applyRunLost, applyRunStart, TaskPhase } from "@sardinestage/track-jobs";
import { explainIdle } from "../idle/explainIdle.js";
import { IdleReason } from "../idle/idleReason.js";
import { limits } from "../limits.js";
import { buildWorkerCapacity } from "../planning/buildWorkerCapacity.js";
import { estimateRunEnd } from "../planning/estimateRunEnd.js";
import { WaitExplainer } from "../planning/waitExplainer.js";
import { computeStartsLeft } from "../workers/computeStartsLeft.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { createLongRunningTask } from "./createLongRunningTask.js";
import { createTrackedWorker } from "./createTrackedWorker.js";

const NOW_MS = 100_000;
const CAPACITY = { cpuMillis: 1000, memoryMb: 1000, accelerators: 0 };

/** A long-running step, a worker that may get starts, and the planning rounds between them. */
export class IdleScene {
    readonly worker: TrackedWorker;
    readonly task: Task;
    nowMs = NOW_MS;
    isGateOpen = true;
    isEvacuated = false;
    hasAuthority = true;
    rules: StartRules = {
        maxStarts: 10,
        maxBestEffortWaitMs: Infinity,
        isAdvised: () => true,
        describePlacement: () => ({ latencyRatio: 0, isInterfering: false, similarSensitivityShare: 1 }),
    };
    readonly explainer: WaitExplainer;

    constructor(changes: Partial<StepSpec> = {}) {
        this.worker = createTrackedWorker("worker", CAPACITY, 0, () => this.isEvacuated);
        this.worker.hasReported = true;
        this.worker.answeredAtMs = NOW_MS;
        this.explainer = new WaitExplainer(() => [this.worker]);
        this.task = createLongRunningTask(changes);
    }

    /** Explains why the task is idle. */
    explain(): IdleReason | undefined {
        return explainIdle(this.task, this.nowMs, {
            findWorker: id => id === "worker" ? this.worker : undefined,
            explainWaiting: step => {
                if (!this.isGateOpen) {
                    return IdleReason.StartGateClosed;
                }
                return this.hasAuthority ? this.explainer.explainWaiting(step) : IdleReason.NoAuthority;
            },
        });
    }

    /** Plans a round for the task and as many other steps as are given, and orders its start if there is room. */
    planRound(others: readonly Task[] = []): void {
        if (!this.isGateOpen || !this.hasAuthority) {
            return;
        }
        const startsLeft = computeStartsLeft(this.worker, this.nowMs);
        const estimateEnd = (task: Task) => estimateRunEnd(task, 1000, this.nowMs);
        const capacities = startsLeft > 0
            ? [buildWorkerCapacity(this.worker, startsLeft, () => undefined, estimateEnd)]
            : [];
        this.rules.reservations?.startRound(capacities, this.nowMs);
        const demands = [...others, this.task].map(task => ({
            step: task.step,
            waiting: task.step.listWaiting(10),
            isStarted: false,
            remainingMs: 0,
            waitedMs: 0,
            slackMs: 0,
            lateSlackMs: 0,
        }));
        const plan = planStarts(demands, capacities, this.rules);
        this.explainer.noteRound({ unmet: plan.unmet, capacities, rules: this.rules, plannedAtMs: this.nowMs });
        plan.starts.forEach(start => this.startRun(start.task));
    }

    /** Orders a run of a task. */
    startRun(task = this.task): void {
        applyRunStart(task, "worker", 1, this.nowMs);
        this.worker.tasks.add(task);
    }

    /** Sends the start. */
    send(): void {
        Object.assign(this.task, { isStartQueued: false, orderFence: 1, isStartUnderWay: true });
    }

    /** Has a report list the run. */
    noteListed(): void {
        this.task.isStartUnderWay = false;
        this.task.phase = TaskPhase.Running;
        this.task.listedAtMs = this.nowMs;
    }

    /** Has the run lost. */
    dropRun(): void {
        this.worker.tasks.delete(this.task);
        applyRunLost(this.task);
    }

    /** Has the task ordered, sent and listed. */
    run(): void {
        this.startRun();
        this.send();
        this.noteListed();
    }

    /** Lets time pass in which no report lists the run. */
    skipReports(): void {
        this.nowMs += limits.workerSilenceMs + 1;
    }
}
