import type { Clock } from "@sardinestage/describe-ports";
import type { StepDemand } from "@sardinestage/plan-starts";
import type { StepRun } from "@sardinestage/track-jobs";
import { computeCriticalPath, computeRemainingCriticalPath } from "@sardinestage/track-jobs";
import { computeDueAge } from "../jobs/computeDueAge.js";
import type { DurationEstimator } from "../jobs/durationEstimator.js";
import type { ReadyList } from "../jobs/readyList.js";
import type { CapacityReservations } from "./capacityReservations.js";

/** A job's result is worth nothing once the job takes longer than this many times its allowed duration. */
const USELESS_AFTER_FACTOR = 3;

/** Builds the demands of a planning round: how long waiting steps have waited, and how much longer they can wait. */
export class DemandBuilder {
    private readonly readyAtMs = new WeakMap<StepRun, number>();

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
        const estimate = (spec: StepRun["spec"]) => this.durations.estimateDuration(queue.name, spec);
        const remainingMs = computeRemainingCriticalPath(occurrence, estimate);
        const criticalPathMs = computeCriticalPath(occurrence, each => estimate(each.spec));
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
                return 1 + slackMs / estimate(step.spec);
            },
            reservedWorkerIds: this.reservations.list(step, nowMs),
            lateSlackMs: objectiveMs * USELESS_AFTER_FACTOR - elapsedMs - remainingMs,
        };
    }
}
