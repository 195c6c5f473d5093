import type { HeadroomEstimator, ServingFigure, WeightedNeighbour } from "@sardinestage/learn-behaviour";
import { HeadroomTrend } from "@sardinestage/learn-behaviour";
import type { StepRun, Task } from "@sardinestage/track-jobs";
import type { HeadroomSample } from "./headroomSample.js";
import { ReplicaSamples } from "./replicaSamples.js";
import type { WorkerLink } from "./workerLink.js";

/** Figures of a worker that follow closer say nothing new, in milliseconds: they cover the last half second. */
const MIN_SAMPLE_GAP_MS = 250;
/** A replica's figure is compared with its own that is no older, in milliseconds. */
const MAX_OWN_SAMPLE_AGE_MS = 1500;
/** Variance of the difference of two replicas' figures, and of one replica's at two times, in headroom squared. */
const REPLICA_VARIANCE = 0.2;
const OWN_VARIANCE = 0.6;
/** Weight of the newest figure in what a replica lacks against the others of its step. */
const DEFICIT_RATE = 0.25;
/** More headroom than this says nothing more. */
const MAX_HEADROOM = 6;
/** Share of the headroom above an image's lowest that a load takes back while a filling task works. */
const LOAD_SWING_SHARE = 0.5;
const FULL_PERCENT = 100;
const MS_PER_SECOND = 1000;

/** Keeps what serving tasks showed, and tells how much headroom they'd have without filling tasks. */
export class ServingBook {
    private readonly samples = new WeakMap<Task, HeadroomSample>();
    private readonly trends = new WeakMap<StepRun, HeadroomTrend>();
    private readonly replicas = new WeakMap<StepRun, ReplicaSamples>();
    private readonly sampledAtMs = new WeakMap<WorkerLink, number>();

    constructor(private readonly estimator: HeadroomEstimator) {}

    /** Whether a worker's figures say anything that they didn't when they were last taken. */
    isSampleDue(link: WorkerLink, nowMs: number): boolean {
        return nowMs - (this.sampledAtMs.get(link) ?? -Infinity) >= MIN_SAMPLE_GAP_MS;
    }

    /** Takes the figures that a worker has listed of its serving and filling tasks. */
    recordMeasurements(link: WorkerLink, servers: readonly Task[], fillers: readonly Task[], nowMs: number): void {
        if (!this.isSampleDue(link, nowMs)) {
            return;
        }
        this.sampledAtMs.set(link, nowMs);
        const capacity = Math.max(1, link.entry.capacity.cpuMillis);
        const neighbours = collectNeighbours(fillers, capacity);
        for (const task of servers) {
            if (task.figure > 0 && task.percent >= FULL_PERCENT) {
                this.recordMeasurement(task, neighbours, link.entry.id, nowMs);
            }
        }
    }

    /** The headroom that a serving task is expected to have without filling tasks; undefined while unknown. */
    estimateHeadroom(task: Task, atMs: number): number | undefined {
        const lowest = this.estimator.estimateLowest(task.step.spec.image);
        const expected = this.trends.get(task.step)?.estimateHeadroom(atMs, lowest);
        const look = this.samples.get(task);
        const isHere = look !== undefined && look.workerId === task.workerId;
        return expected === undefined ? undefined : Math.max(0, expected - (isHere ? look.deficit : 0));
    }

    /**
     * The headroom that a place beside a serving task is judged by; undefined while unknown. What starts there works for
     * longer than a load's swing takes, so that only part of what a low load leaves is counted on.
     */
    estimatePlacementHeadroom(task: Task, atMs: number): number | undefined {
        const expected = this.estimateHeadroom(task, atMs);
        const lowest = this.estimator.estimateLowest(task.step.spec.image);
        return expected === undefined ? undefined : expected - Math.max(0, expected - lowest) * LOAD_SWING_SHARE;
    }

    private recordMeasurement(
        task: Task,
        neighbours: readonly WeightedNeighbour[],
        workerId: string,
        atMs: number,
    ): void {
        const { image, tailTargetMs } = task.step.spec;
        const headroom = Math.min(MAX_HEADROOM, tailTargetMs / task.figure);
        const trend = this.getTrend(task.step);
        this.learnInterference(task, { headroom, neighbours }, workerId, atMs, trend.change);
        const taken = neighbours.reduce(
            (sum, other) => sum + this.estimator.estimateHarm(image, other.image) * other.weight,
            0,
        );
        const alone = Math.min(MAX_HEADROOM, headroom + taken);
        const expected = trend.estimateHeadroom(atMs, 0) ?? alone;
        const before = this.samples.get(task);
        const lackBefore = before?.workerId === workerId ? before.deficit : 0;
        const lack = Math.max(0, lackBefore + (expected - alone - lackBefore) * DEFICIT_RATE);
        const look: HeadroomSample = { headroom, neighbours, workerId, atMs, deficit: lack };
        this.samples.set(task, look);
        this.getReplicaSamples(task.step).recordSample(task, look);
        trend.takeFigure(alone, 1 / (1 + taken), atMs);
        this.estimator.learnUsual(image, trend.estimateHeadroom(atMs, 0) ?? alone);
    }

    private getTrend(step: StepRun): HeadroomTrend {
        const trend = this.trends.get(step) ?? new HeadroomTrend();
        this.trends.set(step, trend);
        return trend;
    }

    private getReplicaSamples(step: StepRun): ReplicaSamples {
        const replicas = this.replicas.get(step) ?? new ReplicaSamples();
        this.replicas.set(step, replicas);
        return replicas;
    }

    /** Replicas elsewhere are the best reference; without them, the replica's own last figure is one. */
    private learnInterference(task: Task, figure: ServingFigure, workerId: string, atMs: number, change: number): void {
        const { image } = task.step.spec;
        const others = this.getReplicaSamples(task.step).computeAverageOfOthers(workerId, atMs, change);
        const own = this.samples.get(task);
        if (others !== undefined) {
            this.estimator.learnDifference(image, figure, others, REPLICA_VARIANCE);
        }
        else if (own !== undefined && own.workerId === workerId && atMs - own.atMs <= MAX_OWN_SAMPLE_AGE_MS) {
            const headroom = own.headroom + change * (atMs - own.atMs) / MS_PER_SECOND;
            this.estimator.learnDifference(image, figure, { headroom, neighbours: own.neighbours }, OWN_VARIANCE);
        }
    }
}

/** The filling tasks that use processor, those of one image as one. */
function collectNeighbours(fillers: readonly Task[], capacityCpuMillis: number): WeightedNeighbour[] {
    const weights = new Map<string, number>();
    for (const { figure, step } of fillers) {
        if (figure > 0) {
            weights.set(step.spec.image, (weights.get(step.spec.image) ?? 0) + figure / capacityCpuMillis);
        }
    }
    return [...weights].map(([image, weight]) => ({ image, weight }));
}
