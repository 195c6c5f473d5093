import type { StepSpec } from "@sardinestage/describe-work";
import type { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { PlacementView, WorkerCapacity } from "@sardinestage/plan-starts";
import { HeadroomEstimateCache } from "./headroomEstimateCache.js";
import type { ImageInterference } from "./imageInterference.js";

/** A best-effort task that can take this much headroom from any serving task needs a worker without serving tasks. */
const HIGH_INTERFERENCE = 0.3;
/** Less headroom than this makes no difference; this bounds the latency ratio. */
const MIN_HEADROOM = 0.05;
/** The view of a task that neither serves nor is best-effort. */
const NEUTRAL_PLACEMENT: PlacementView = { latencyRatio: 0, isInterfering: false, similarSensitivityShare: 1 };

/** A best-effort task on a worker. */
interface BestEffortTask {
    readonly interference: ImageInterference;
    /** The processor that it reserves, as a share of the worker's. */
    readonly weight: number;
}

/** The headroom that a worker's serving tasks have left beside its best-effort tasks. */
interface WorkerHeadroom {
    /** In the order of the capacity's best-effort tasks. */
    readonly bestEffortTasks: BestEffortTask[];
    /** The image numbers of the serving tasks, in the order of the capacity's serving tasks. */
    readonly servingImages: number[];
    /** The remaining headroom of each serving task, in the same order. */
    readonly remaining: number[];
}

/**
 * Scores the placement of a task on a worker by its effect on serving tasks, from the learned interference of images.
 */
export class PlacementScorer {
    private estimates: HeadroomEstimateCache;
    private headrooms = new WeakMap<WorkerCapacity, WorkerHeadroom>();

    constructor(private readonly estimator: HeadroomEstimator) {
        this.estimates = new HeadroomEstimateCache(estimator);
    }

    /** Starts a round. Until the next call, estimates don't change and tasks are only added to capacities. */
    startRound(): void {
        this.estimates = new HeadroomEstimateCache(this.estimator);
        this.headrooms = new WeakMap();
    }

    /** Describes the placement of a task on a worker beside the tasks that the worker has. */
    describePlacement(capacity: WorkerCapacity, spec: StepSpec): PlacementView {
        if (spec.tailLatencyTargetMs > 0) {
            return this.describeServing(capacity, spec);
        }
        return spec.isBestEffort ? this.describeBestEffort(capacity, spec) : NEUTRAL_PLACEMENT;
    }

    private describeBestEffort(capacity: WorkerCapacity, spec: StepSpec): PlacementView {
        const { servingImages, remaining } = this.updateHeadroom(capacity);
        const interference = this.estimates.resolveInterference(spec.image);
        const weight = computeWeight(capacity, spec);
        let worst = Infinity;
        for (let index = 0; index < remaining.length; index++) {
            worst = Math.min(
                worst,
                remaining[index] - this.estimates.getInterference(interference, servingImages[index]) * weight,
            );
        }
        return {
            latencyRatio: computeLatencyRatio(worst),
            isInterfering: interference.maxInterference * weight >= HIGH_INTERFERENCE,
            similarSensitivityShare: 1,
        };
    }

    private describeServing(capacity: WorkerCapacity, spec: StepSpec): PlacementView {
        const image = this.estimates.resolveImage(spec.image);
        const { servingImages, bestEffortTasks } = this.updateHeadroom(capacity);
        const headroom = this.computeRemaining(this.estimates.getUsual(image), image, bestEffortTasks);
        let similar = 0;
        for (const other of servingImages) {
            similar += this.isSimilarlySensitive(other, image) ? 1 : 0;
        }
        const similarShare = servingImages.length === 0 ? 1 : similar / servingImages.length;
        return {
            latencyRatio: computeLatencyRatio(headroom),
            isInterfering: false,
            similarSensitivityShare: similarShare,
        };
    }

    /**
     * Gets the remaining headrooms on a worker. A round adds tasks as it plans, so only the added tasks are computed.
     */
    private updateHeadroom(capacity: WorkerCapacity): WorkerHeadroom {
        const known = this.headrooms.get(capacity);
        const headroom: WorkerHeadroom = known ?? { bestEffortTasks: [], servingImages: [], remaining: [] };
        if (known === undefined) {
            this.headrooms.set(capacity, headroom);
        }
        const { bestEffortTasks, servingImages, remaining } = headroom;
        for (let index = bestEffortTasks.length; index < capacity.bestEffortSpecs.length; index++) {
            const spec = capacity.bestEffortSpecs[index];
            const bestEffortTask = {
                interference: this.estimates.resolveInterference(spec.image),
                weight: computeWeight(capacity, spec),
            };
            bestEffortTasks.push(bestEffortTask);
            for (let servingIndex = 0; servingIndex < remaining.length; servingIndex++) {
                remaining[servingIndex] -=
                    this.estimates.getInterference(bestEffortTask.interference, servingImages[servingIndex])
                    * bestEffortTask.weight;
            }
        }
        for (let index = servingImages.length; index < capacity.servingTasks.length; index++) {
            const servingTask = capacity.servingTasks[index];
            const image = this.estimates.resolveImage(servingTask.step.spec.image);
            servingImages.push(image);
            remaining.push(
                this.computeRemaining(servingTask.headroom ?? this.estimates.getUsual(image), image, bestEffortTasks),
            );
        }
        return headroom;
    }

    private computeRemaining(
        headroom: number,
        servingImage: number,
        bestEffortTasks: readonly BestEffortTask[],
    ): number {
        let remaining = headroom;
        for (const { interference, weight } of bestEffortTasks) {
            remaining -= this.estimates.getInterference(interference, servingImage) * weight;
        }
        return remaining;
    }

    /** Whether two serving images are the same, or are both known to be sensitive or both known not to be. */
    private isSimilarlySensitive(image: number, other: number): boolean {
        const [left, right] = [this.estimates.isSensitive(image), this.estimates.isSensitive(other)];
        return image === other || (left !== undefined && right !== undefined && left === right);
    }
}

function computeWeight(capacity: WorkerCapacity, spec: StepSpec): number {
    return spec.cpuMillis / Math.max(1, capacity.capacityCpuMillis);
}

function computeLatencyRatio(headroom: number): number {
    return 1 / Math.max(MIN_HEADROOM, headroom);
}
