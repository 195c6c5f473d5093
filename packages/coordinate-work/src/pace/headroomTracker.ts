import type { HeadroomEstimator, ServingMeasurement, WeightedNeighbour } from "@sardinestage/learn-behaviour";
import { HeadroomTrend } from "@sardinestage/learn-behaviour";
import type { StepRun, Task } from "@sardinestage/track-jobs";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import type { HeadroomSample } from "./headroomSample.js";
import { ReplicaSamples } from "./replicaSamples.js";

/** Least time between two samples of a worker, in milliseconds: measurements cover the last half second. */
const MIN_SAMPLE_GAP_MS = 250;
/** A replica is compared with its own previous sample only up to this age, in milliseconds. */
const MAX_OWN_SAMPLE_AGE_MS = 1500;
/** Variance of the difference between the headrooms of two replicas, in headroom squared. */
const REPLICA_VARIANCE = 0.2;
/** Variance of the difference between one replica's headrooms at two times, in headroom squared. */
const OWN_VARIANCE = 0.6;
/** Weight of the newest sample in the moving average of a replica's deficit against the other replicas. */
const DEFICIT_RATE = 0.25;
/** Headroom is capped at this value: more makes no difference to any decision. */
const MAX_HEADROOM = 6;
/** Share of the headroom above an image's lowest that swings of the load take back while a best-effort task runs. */
const LOAD_SWING_SHARE = 0.5;
const FULL_PERCENT = 100;
const MS_PER_SECOND = 1000;

/** Tracks the latency headroom of serving tasks and estimates what it would be without best-effort tasks. */
export class HeadroomTracker {
    private readonly samples = new WeakMap<Task, HeadroomSample>();
    private readonly trends = new WeakMap<StepRun, HeadroomTrend>();
    private readonly replicas = new WeakMap<StepRun, ReplicaSamples>();
    private readonly sampledAtMs = new WeakMap<TrackedWorker, number>();

    constructor(private readonly estimator: HeadroomEstimator) {}

    /** Whether a worker's last sample is old enough for a new one to add information. */
    isSampleDue(worker: TrackedWorker, nowMs: number): boolean {
        return nowMs - (this.sampledAtMs.get(worker) ?? -Infinity) >= MIN_SAMPLE_GAP_MS;
    }

    /** Records the measurements that a worker reported of its serving and best-effort tasks, if a new sample is due. */
    recordMeasurements(
        worker: TrackedWorker,
        servingTasks: readonly Task[],
        bestEffortTasks: readonly Task[],
        nowMs: number,
    ): void {
        if (!this.isSampleDue(worker, nowMs)) {
            return;
        }
        this.sampledAtMs.set(worker, nowMs);
        const capacityCpuMillis = Math.max(1, worker.entry.capacity.cpuMillis);
        const neighbours = collectNeighbours(bestEffortTasks, capacityCpuMillis);
        for (const task of servingTasks) {
            if (task.measurement > 0 && task.percent >= FULL_PERCENT) {
                this.recordMeasurement(task, neighbours, worker.entry.id, nowMs);
            }
        }
    }

    /** Estimates the headroom of a serving task at a time without best-effort tasks; undefined while unknown. */
    estimateHeadroom(task: Task, atMs: number): number | undefined {
        const lowest = this.estimator.estimateLowestHeadroom(task.step.spec.image);
        const expected = this.trends.get(task.step)?.estimateHeadroom(atMs, lowest);
        const sample = this.samples.get(task);
        const isSameWorker = sample !== undefined && sample.workerId === task.workerId;
        return expected === undefined ? undefined : Math.max(0, expected - (isSameWorker ? sample.deficit : 0));
    }

    /**
     * Estimates the headroom of a serving task for the placement of another task beside it; undefined while unknown.
     * The other task runs for longer than a swing of the load lasts, so only part of the headroom above the image's
     * lowest is used.
     */
    estimatePlacementHeadroom(task: Task, atMs: number): number | undefined {
        const expected = this.estimateHeadroom(task, atMs);
        const lowest = this.estimator.estimateLowestHeadroom(task.step.spec.image);
        return expected === undefined ? undefined : expected - Math.max(0, expected - lowest) * LOAD_SWING_SHARE;
    }

    private recordMeasurement(
        task: Task,
        neighbours: readonly WeightedNeighbour[],
        workerId: string,
        atMs: number,
    ): void {
        const { image, tailLatencyTargetMs } = task.step.spec;
        const headroom = Math.min(MAX_HEADROOM, tailLatencyTargetMs / task.measurement);
        const trend = this.getTrend(task.step);
        this.learnInterference(task, { headroom, neighbours }, workerId, atMs, trend.slopePerSecond);
        const interference = neighbours.reduce(
            (sum, other) => sum + this.estimator.estimateInterference(image, other.image) * other.weight,
            0,
        );
        const aloneHeadroom = Math.min(MAX_HEADROOM, headroom + interference);
        const expected = trend.estimateHeadroom(atMs, 0) ?? aloneHeadroom;
        const previous = this.samples.get(task);
        const previousDeficit = previous?.workerId === workerId ? previous.deficit : 0;
        const deficit = Math.max(0, previousDeficit + (expected - aloneHeadroom - previousDeficit) * DEFICIT_RATE);
        const sample: HeadroomSample = { headroom, neighbours, workerId, atMs, deficit };
        this.samples.set(task, sample);
        this.getReplicaSamples(task.step).recordSample(task, sample);
        trend.addMeasurement(aloneHeadroom, 1 / (1 + interference), atMs);
        this.estimator.learnUsualHeadroom(image, trend.estimateHeadroom(atMs, 0) ?? aloneHeadroom);
    }

    private getTrend(step: StepRun): HeadroomTrend {
        const trend = this.trends.get(step) ?? new HeadroomTrend();
        this.trends.set(step, trend);
        return trend;
    }

    private getReplicaSamples(step: StepRun): ReplicaSamples {
        const replicaSamples = this.replicas.get(step) ?? new ReplicaSamples();
        this.replicas.set(step, replicaSamples);
        return replicaSamples;
    }

    /**
     * Compares a measurement with the replicas on other workers, or if there are none with the replica's own last
     * sample.
     */
    private learnInterference(
        task: Task,
        measurement: ServingMeasurement,
        workerId: string,
        atMs: number,
        change: number,
    ): void {
        const { image } = task.step.spec;
        const reference = this.getReplicaSamples(task.step).computeAverageOfOthers(workerId, atMs, change);
        const previous = this.samples.get(task);
        if (reference !== undefined) {
            this.estimator.learnDifference(image, measurement, reference, REPLICA_VARIANCE);
        }
        else if (
            previous !== undefined && previous.workerId === workerId && atMs - previous.atMs <= MAX_OWN_SAMPLE_AGE_MS
        ) {
            const headroom = previous.headroom + change * (atMs - previous.atMs) / MS_PER_SECOND;
            this.estimator.learnDifference(
                image,
                measurement,
                { headroom, neighbours: previous.neighbours },
                OWN_VARIANCE,
            );
        }
    }
}

/** Adds up the processor shares of the best-effort tasks by image; tasks that use no processor are left out. */
function collectNeighbours(bestEffortTasks: readonly Task[], capacityCpuMillis: number): WeightedNeighbour[] {
    const weights = new Map<string, number>();
    for (const { measurement: usedCpuMillis, step } of bestEffortTasks) {
        if (usedCpuMillis > 0) {
            weights.set(step.spec.image, (weights.get(step.spec.image) ?? 0) + usedCpuMillis / capacityCpuMillis);
        }
    }
    return [...weights].map(([image, weight]) => ({ image, weight }));
}
