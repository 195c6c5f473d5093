import type { StepSpec } from "@sardinestage/describe-work";
import type { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { PlacementView, WorkerCapacity } from "@sardinestage/plan-starts";
import { estimateInterference } from "../pace/estimateInterference.js";

/** A best-effort task that can take this much headroom from any serving task needs a worker without serving tasks. */
const HIGH_INTERFERENCE = 0.3;
/** Headroom assumed for a serving image of which nothing is known. */
const DEFAULT_HEADROOM = 2.5;
/**
 * An image is sensitive if some neighbour that uses a whole worker's processor takes more headroom than this from it.
 */
const SENSITIVE_ABOVE = 3;
/** Less headroom than this makes no difference; this bounds the latency ratio. */
const MIN_HEADROOM = 0.05;
/** The view of a task that neither serves nor is best-effort. */
const NEUTRAL_PLACEMENT: PlacementView = { latencyRatio: 0, isInterfering: false, similarSensitivityShare: 1 };

/** Describes placements like `PlacementScorer` but without a cache, as a reference in tests. */
export class ReferencePlacementScorer {
    constructor(private readonly estimator: HeadroomEstimator) {}

    /** Describes the placement of a task on a worker beside the tasks that the worker has. */
    describePlacement(capacity: WorkerCapacity, spec: StepSpec): PlacementView {
        if (spec.tailLatencyTargetMs > 0) {
            return this.describeServing(capacity, spec);
        }
        return spec.isBestEffort ? this.describeBestEffort(capacity, spec) : NEUTRAL_PLACEMENT;
    }

    private describeBestEffort(capacity: WorkerCapacity, spec: StepSpec): PlacementView {
        const remaining = this.listRemaining(capacity);
        let worst = Infinity;
        capacity.servingTasks.forEach((servingTask, index) => {
            const interference = estimateInterference(
                this.estimator,
                servingTask.step.spec.image,
                spec,
                capacity.capacityCpuMillis,
            );
            worst = Math.min(worst, remaining[index] - interference);
        });
        const weight = spec.cpuMillis / Math.max(1, capacity.capacityCpuMillis);
        const isInterfering = this.estimator.estimateWorstInterference(spec.image) * weight >= HIGH_INTERFERENCE;
        return { latencyRatio: computeLatencyRatio(worst), isInterfering, similarSensitivityShare: 1 };
    }

    private describeServing(capacity: WorkerCapacity, spec: StepSpec): PlacementView {
        let headroom = this.estimateUsual(spec.image);
        for (const bestEffort of capacity.bestEffortSpecs) {
            headroom -= estimateInterference(this.estimator, spec.image, bestEffort, capacity.capacityCpuMillis);
        }
        const similar =
            capacity.servingTasks.filter(servingTask =>
                this.isSimilarlySensitive(servingTask.step.spec.image, spec.image)
            ).length;
        const similarShare = capacity.servingTasks.length === 0 ? 1 : similar / capacity.servingTasks.length;
        return {
            latencyRatio: computeLatencyRatio(headroom),
            isInterfering: false,
            similarSensitivityShare: similarShare,
        };
    }

    private listRemaining(capacity: WorkerCapacity): readonly number[] {
        return capacity.servingTasks.map(servingTask => {
            const own = servingTask.headroom ?? this.estimateUsual(servingTask.step.spec.image);
            return capacity.bestEffortSpecs.reduce(
                (left, bestEffort) =>
                    left
                    - estimateInterference(
                        this.estimator,
                        servingTask.step.spec.image,
                        bestEffort,
                        capacity.capacityCpuMillis,
                    ),
                own,
            );
        });
    }

    private estimateUsual(image: string): number {
        return this.estimator.estimateUsualHeadroom(image) ?? DEFAULT_HEADROOM;
    }

    /** Whether two serving images are the same, or are both known to be sensitive or both known not to be. */
    private isSimilarlySensitive(image: string, other: string): boolean {
        if (image === other) {
            return true;
        }
        const [left, right] = [this.estimator.estimateSensitivity(image), this.estimator.estimateSensitivity(other)];
        return left !== undefined && right !== undefined && (left > SENSITIVE_ABOVE) === (right > SENSITIVE_ABOVE);
    }
}

function computeLatencyRatio(headroom: number): number {
    return 1 / Math.max(MIN_HEADROOM, headroom);
}
