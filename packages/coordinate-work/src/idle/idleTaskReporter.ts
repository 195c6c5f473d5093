import type { Metrics } from "@sardinestage/count-metrics";
import type { Clock } from "@sardinestage/describe-ports";
import { formatTaskKey } from "@sardinestage/describe-work";
import type { EventLogger } from "@sardinestage/log-events";
import type { Job, StepRun, Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import { computeDueAge } from "../jobs/computeDueAge.js";
import { explainIdle } from "./explainIdle.js";
import type { IdleContext } from "./idleContext.js";
import type { IdleReason } from "./idleReason.js";

/** Interval between two checks, in milliseconds: a check looks at all long-running tasks. */
const CHECK_INTERVAL_MS = 1000;
/** A long-running task that is idle for longer is reported, in milliseconds: its users may count on so much. */
const REPORT_AFTER_MS = 3000;

/** Since when a task is idle, and since when for its present reason, in steady milliseconds. */
interface IdleTime {
    readonly sinceMs: number;
    readonly reason: IdleReason;
    readonly reasonSinceMs: number;
}

/** The idle tasks of one reason. */
interface IdleGroup {
    tasks: number;
    oldest: Task;
    oldestTime: IdleTime;
}

/** Dependencies of an idle task reporter. */
interface IdleTaskReporterParts {
    readonly clock: Pick<Clock, "getWallTime">;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
}

/**
 * Watches the long-running tasks that are due: each one either has a run that its worker listed a moment ago, or exactly
 * one reason why not. Reasons that last too long are logged, one line each, and counted. A task that has never run is idle
 * since its turn came; the age of one that has run begins anew with a takeover. A task that no round has ever come to has
 * no age yet.
 */
export class IdleTaskReporter {
    private readonly idleTimes = new WeakMap<Task, IdleTime>();
    private checkedAtMs = -Infinity;

    /**
     * @param parts Dependencies of the reporter.
     * @param listJobs Lists the live jobs.
     * @param context What has to be known to explain why a task is idle.
     */
    constructor(
        private readonly parts: IdleTaskReporterParts,
        private readonly listJobs: () => Iterable<Job>,
        private readonly context: IdleContext,
    ) {}

    /** Checks the long-running tasks of all jobs, at most once a second. */
    reportIdle(nowMs: number): void {
        if (nowMs - this.checkedAtMs < CHECK_INTERVAL_MS) {
            return;
        }
        this.checkedAtMs = nowMs;
        const groups = new Map<IdleReason, IdleGroup>();
        for (const step of listDueSteps(this.listJobs())) {
            for (const task of step.listKnown()) {
                const time = task.phase === TaskPhase.Done ? undefined : this.updateTime(task, nowMs);
                if (time !== undefined && nowMs - time.sinceMs >= REPORT_AFTER_MS) {
                    addToGroup(groups, task, time);
                }
            }
        }
        groups.forEach((group, reason) => this.reportGroup(group, reason, nowMs));
    }

    private updateTime(task: Task, nowMs: number): IdleTime | undefined {
        const reason = explainIdle(task, nowMs, this.context);
        if (reason === undefined) {
            this.idleTimes.delete(task);
            return undefined;
        }
        const known = this.idleTimes.get(task);
        if (known?.reason === reason) {
            return known;
        }
        const sinceMs = known?.sinceMs ?? nowMs - this.computeAge(task);
        const time = { sinceMs, reason, reasonSinceMs: nowMs };
        this.idleTimes.set(task, time);
        return time;
    }

    /** Computes how long a task that is seen idle for the first time has been so, in milliseconds. */
    private computeAge(task: Task): number {
        return task.run === 0 ? computeDueAge(task.step, this.parts.clock.getWallTime()) : 0;
    }

    private reportGroup({ tasks, oldest, oldestTime }: IdleGroup, reason: IdleReason, nowMs: number): void {
        this.parts.metrics.count("long_running_idle_total", reason, tasks);
        this.parts.logger.warn("long-running-idle", {
            reason,
            tasks,
            oldest: formatTaskKey(oldest.ref),
            run: oldest.run,
            worker: oldest.workerId,
            idleMs: Math.round(nowMs - oldestTime.sinceMs),
            reasonMs: Math.round(nowMs - oldestTime.reasonSinceMs),
        });
    }
}

function* listDueSteps(jobs: Iterable<Job>): Iterable<StepRun> {
    for (const job of jobs) {
        if (job.isFinished || !job.spec.steps.some(step => step.longRunning)) {
            continue;
        }
        for (const { steps } of job.openOccurrences.values()) {
            yield* steps.filter(step => step.spec.longRunning && step.isReady);
        }
    }
}

function addToGroup(groups: Map<IdleReason, IdleGroup>, task: Task, time: IdleTime): void {
    const group = groups.get(time.reason);
    if (group === undefined) {
        groups.set(time.reason, { tasks: 1, oldest: task, oldestTime: time });
        return;
    }
    group.tasks++;
    if (time.sinceMs < group.oldestTime.sinceMs) {
        group.oldest = task;
        group.oldestTime = time;
    }
}
