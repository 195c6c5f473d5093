import type { Clock } from "@sardinestage/describe-ports";
import type { StepDemand } from "@sardinestage/plan-starts";
import type { Occurrence, StepRun } from "@sardinestage/track-jobs";
import { computeCriticalPath, computeRemainingCriticalPath } from "@sardinestage/track-jobs";
import { computeDueAge } from "../jobs/computeDueAge.js";
import type { DurationEstimator } from "../jobs/durationEstimator.js";
import type { ReadyList } from "../jobs/readyList.js";
import type { CapacityReservations } from "./capacityReservations.js";

/** A job's result is worth nothing once the job takes longer than this many times its allowed duration. */
const USELESS_AFTER_FACTOR = 3;
/**
 * An occurrence with more steps than this has its critical path computed only once in so many milliseconds: each of its
 * ready steps needs the path, which takes time that grows with its steps.
 */
const MAX_STEPS_COMPUTED_ANEW = 64;
const CRITICAL_PATH_KEPT_MS = 50;

/** Durations of an occurrence's critical path, in milliseconds. */
interface CriticalPath {
    readonly remainingMs: number;
    readonly criticalPathMs: number;
    readonly computedAtMs: number;
}

/** Builds the demands of a planning round: how long waiting steps have waited, and how much longer they can wait. */
export class DemandBuilder {
    private readonly readyAtMs = new WeakMap<StepRun, number>();
    private readonly criticalPaths = new WeakMap<Occurrence, CriticalPath>();

    constructor(
        private readonly clock: Clock,
        private readonly durations: DurationEstimator,
        private readonly reservations: CapacityReservations,
    ) {}

    /** Builds the demand of a step that has waiting tasks, and notes since when the step is ready. */
    buildDemand(ready: ReadyList["steps"][number]): StepDemand {
        const { step } = ready;
        this.readyAtMs.set(step, this.readyAtMs.get(step) ?? this.clock.getNow());
        return this.describeDemand(ready);
    }

    /** Describes the demand of a step that has waiting tasks, without changing anything. */
    describeDemand(ready: ReadyList["steps"][number]): StepDemand {
        const { step } = ready;
        const { occurrence } = step;
        const { queue } = occurrence.job;
        const { remainingMs, criticalPathMs } = this.getCriticalPath(occurrence);
        const estimate = () => this.durations.estimateDuration(queue.name, step.spec);
        const objectiveMs = queue.stretch * criticalPathMs + queue.targetLatencyMs;
        const wallNowMs = this.clock.getWallTime();
        const elapsedMs = wallNowMs - occurrence.dueMs;
        const slackMs = objectiveMs - elapsedMs - remainingMs;
        const nowMs = this.clock.getNow();
        const readyAtMs = this.readyAtMs.get(step) ?? nowMs;
        // A takeover doesn't begin the wait of long-running tasks anew.
        const dueAgeMs = step.spec.longRunning ? computeDueAge(step, wallNowMs) : 0;
        return {
            step,
            // Listed only for the demands that the round comes to.
            get waiting() {
                return ready.waiting;
            },
            isStarted: occurrence.isStarted,
            remainingMs,
            waitedMs: Math.max(nowMs - readyAtMs, dueAgeMs),
            slackMs,
            // Read only while some worker is slow or cold.
            get maxSlowness() {
                return 1 + slackMs / estimate();
            },
            reservedWorkerIds: this.reservations.list(step, nowMs),
            lateSlackMs: objectiveMs * USELESS_AFTER_FACTOR - elapsedMs - remainingMs,
        };
    }

    private getCriticalPath(occurrence: Occurrence): CriticalPath {
        const { queue, spec } = occurrence.job;
        const nowMs = this.clock.getNow();
        const kept = this.criticalPaths.get(occurrence);
        if (kept !== undefined && nowMs - kept.computedAtMs < CRITICAL_PATH_KEPT_MS) {
            return kept;
        }
        const estimate = (step: StepRun["spec"]) => this.durations.estimateDuration(queue.name, step);
        const path = {
            remainingMs: computeRemainingCriticalPath(occurrence, estimate),
            criticalPathMs: computeCriticalPath(occurrence, estimate),
            computedAtMs: nowMs,
        };
        if (spec.steps.length > MAX_STEPS_COMPUTED_ANEW) {
            this.criticalPaths.set(occurrence, path);
        }
        return path;
    }
}
