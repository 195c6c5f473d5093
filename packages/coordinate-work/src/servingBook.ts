import type { HeadroomEstimator, ServingFigure, WeightedNeighbour } from "@sardinestage/learn-behaviour";
import { HeadroomTrend } from "@sardinestage/learn-behaviour";
import type { StepRun, Task } from "@sardinestage/track-jobs";
import type { Look } from "./look.js";
import { ReplicaLooks } from "./replicaLooks.js";
import type { TrackedWorker } from "./trackedWorker.js";

/** Figures of a worker that follow closer say nothing new, in milliseconds: they cover the last half second. */
const LOOK_GAP_MS = 250;
/** A replica's figure is compared with its own that is no older, in milliseconds. */
const OWN_FIGURE_MS = 1500;
/** Variance of the difference of two replicas' figures, and of one replica's at two times, in headroom squared. */
const REPLICA_VARIANCE = 0.2;
const OWN_VARIANCE = 0.6;
/** Weight of the newest figure in what a replica lacks against the others of its step. */
const LACK_RATE = 0.25;
/** More headroom than this says nothing more. */
const MOST_HEADROOM = 6;
/** Share of the headroom above an image's lowest that a load takes back while a filling task works. */
const SWING_SHARE = 0.5;
const FULL_PERCENT = 100;
const MS_PER_SECOND = 1000;

/** Keeps what serving tasks showed, and tells how much headroom they'd have without filling tasks. */
export class ServingBook {
    private readonly looks = new WeakMap<Task, Look>();
    private readonly trends = new WeakMap<StepRun, HeadroomTrend>();
    private readonly replicas = new WeakMap<StepRun, ReplicaLooks>();
    private readonly takenAtMs = new WeakMap<TrackedWorker, number>();

    constructor(private readonly estimator: HeadroomEstimator) {}

    /** Whether a worker's figures say anything that they didn't when they were last taken. */
    hasNews(link: TrackedWorker, nowMs: number): boolean {
        return nowMs - (this.takenAtMs.get(link) ?? -Infinity) >= LOOK_GAP_MS;
    }

    /** Takes the figures that a worker has listed of its serving and filling tasks. */
    takeFigures(link: TrackedWorker, servers: readonly Task[], fillers: readonly Task[], nowMs: number): void {
        if (!this.hasNews(link, nowMs)) {
            return;
        }
        this.takenAtMs.set(link, nowMs);
        const capacity = Math.max(1, link.entry.capacity.cpuMillis);
        const neighbours = collectNeighbours(fillers, capacity);
        for (const task of servers) {
            if (task.figure > 0 && task.percent >= FULL_PERCENT) {
                this.takeFigure(task, neighbours, link.entry.id, nowMs);
            }
        }
    }

    /** The headroom that a serving task is expected to have without filling tasks; undefined while unknown. */
    estimateHeadroom(task: Task, atMs: number): number | undefined {
        const lowest = this.estimator.estimateLowest(task.step.spec.image);
        const expected = this.trends.get(task.step)?.estimateHeadroom(atMs, lowest);
        const look = this.looks.get(task);
        const isHere = look !== undefined && look.workerId === task.workerId;
        return expected === undefined ? undefined : Math.max(0, expected - (isHere ? look.lack : 0));
    }

    /**
     * The headroom that a place beside a serving task is judged by; undefined while unknown. What starts there works for
     * longer than a load's swing takes, so that only part of what a low load leaves is counted on.
     */
    estimatePlaceHeadroom(task: Task, atMs: number): number | undefined {
        const expected = this.estimateHeadroom(task, atMs);
        const lowest = this.estimator.estimateLowest(task.step.spec.image);
        return expected === undefined ? undefined : expected - Math.max(0, expected - lowest) * SWING_SHARE;
    }

    private takeFigure(task: Task, neighbours: readonly WeightedNeighbour[], workerId: string, atMs: number): void {
        const { image, tailTargetMs } = task.step.spec;
        const headroom = Math.min(MOST_HEADROOM, tailTargetMs / task.figure);
        const trend = this.getTrend(task.step);
        this.learnHarm(task, { headroom, neighbours }, workerId, atMs, trend.change);
        const taken = neighbours.reduce(
            (sum, other) => sum + this.estimator.estimateHarm(image, other.image) * other.weight,
            0,
        );
        const alone = Math.min(MOST_HEADROOM, headroom + taken);
        const expected = trend.estimateHeadroom(atMs, 0) ?? alone;
        const before = this.looks.get(task);
        const lackBefore = before?.workerId === workerId ? before.lack : 0;
        const lack = Math.max(0, lackBefore + (expected - alone - lackBefore) * LACK_RATE);
        const look: Look = { headroom, neighbours, workerId, atMs, lack };
        this.looks.set(task, look);
        this.getReplicas(task.step).takeLook(task, look);
        trend.takeFigure(alone, 1 / (1 + taken), atMs);
        this.estimator.learnUsual(image, trend.estimateHeadroom(atMs, 0) ?? alone);
    }

    private getTrend(step: StepRun): HeadroomTrend {
        const trend = this.trends.get(step) ?? new HeadroomTrend();
        this.trends.set(step, trend);
        return trend;
    }

    private getReplicas(step: StepRun): ReplicaLooks {
        const replicas = this.replicas.get(step) ?? new ReplicaLooks();
        this.replicas.set(step, replicas);
        return replicas;
    }

    /** Replicas elsewhere are the best reference; without them, the replica's own last figure is one. */
    private learnHarm(task: Task, figure: ServingFigure, workerId: string, atMs: number, change: number): void {
        const { image } = task.step.spec;
        const others = this.getReplicas(task.step).computeOthers(workerId, atMs, change);
        const own = this.looks.get(task);
        if (others !== undefined) {
            this.estimator.learnDifference(image, figure, others, REPLICA_VARIANCE);
        }
        else if (own !== undefined && own.workerId === workerId && atMs - own.atMs <= OWN_FIGURE_MS) {
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
