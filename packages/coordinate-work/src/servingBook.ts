import type { HeadroomEstimator, ServingFigure, WeightedNeighbour } from "@sardinestage/learn-behaviour";
import { HeadroomTrend } from "@sardinestage/learn-behaviour";
import type { StepRun, Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { WorkerLink } from "./workerLink.js";

/** Figures of a worker that follow closer say nothing new, in milliseconds: they cover the last half second. */
const LOOK_GAP_MS = 250;
/** Figures of two replicas are compared when they are no further apart, in milliseconds. */
const SAME_TIME_MS = 700;
/** A replica's figure is compared with its own that is no older, in milliseconds. */
const OWN_FIGURE_MS = 1500;
/** Variance of the difference of two replicas' figures, and of one replica's at two times, in headroom squared. */
const REPLICA_VARIANCE = 0.2;
const OWN_VARIANCE = 0.6;
/** Weight of the newest figure in what a replica lacks against the others of its step. */
const LACK_RATE = 0.25;
/** More headroom than this says nothing more. */
const MOST_HEADROOM = 6;
const FULL_PERCENT = 100;
const MS_PER_SECOND = 1000;

/** What was seen of a serving task when its worker was last looked at. */
interface Look extends ServingFigure {
    readonly workerId: string;
    readonly atMs: number;
    /** How much less headroom it has than the others of its step, averaged; never negative. */
    readonly lack: number;
}

/** Keeps what serving tasks showed, and tells how much headroom they'd have without filling tasks. */
export class ServingBook {
    private readonly looks = new WeakMap<Task, Look>();
    private readonly trends = new WeakMap<StepRun, HeadroomTrend>();
    private readonly takenAtMs = new WeakMap<WorkerLink, number>();

    constructor(private readonly estimator: HeadroomEstimator) {}

    /** Takes the figures that a worker has listed of its serving and filling tasks. */
    takeFigures(link: WorkerLink, servers: readonly Task[], fillers: readonly Task[], nowMs: number): void {
        if (nowMs - (this.takenAtMs.get(link) ?? -Infinity) < LOOK_GAP_MS) {
            return;
        }
        this.takenAtMs.set(link, nowMs);
        const capacity = Math.max(1, link.entry.capacity.cpuMillis);
        const neighbours = fillers.filter(task => task.figure > 0)
            .map(task => ({ image: task.step.spec.image, weight: task.figure / capacity }));
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
        this.looks.set(task, { headroom, neighbours, workerId, atMs, lack });
        trend.takeFigure(alone, 1 / (1 + taken), atMs);
        this.estimator.learnUsual(image, trend.estimateHeadroom(atMs, 0) ?? alone);
    }

    private getTrend(step: StepRun): HeadroomTrend {
        const trend = this.trends.get(step) ?? new HeadroomTrend();
        this.trends.set(step, trend);
        return trend;
    }

    /** Replicas elsewhere are the best reference; without them, the replica's own last figure is one. */
    private learnHarm(task: Task, figure: ServingFigure, workerId: string, atMs: number, change: number): void {
        const { image } = task.step.spec;
        const others = task.step.tasks.flatMap(other => {
            const look = other === task || other.phase !== TaskPhase.Running ? undefined : this.looks.get(other);
            return look !== undefined && look.workerId !== workerId && atMs - look.atMs <= SAME_TIME_MS ? [look] : [];
        });
        const own = this.looks.get(task);
        if (others.length > 0) {
            this.estimator.learnDifference(image, figure, computeAverage(others, atMs, change), REPLICA_VARIANCE);
        }
        else if (own !== undefined && own.workerId === workerId && atMs - own.atMs <= OWN_FIGURE_MS) {
            this.estimator.learnDifference(image, figure, computeAverage([own], atMs, change), OWN_VARIANCE);
        }
    }
}

/** Averages looks, brought to one time. */
function computeAverage(looks: readonly Look[], atMs: number, change: number): ServingFigure {
    const share = 1 / looks.length;
    const headroom = looks.reduce(
        (sum, look) => sum + (look.headroom + change * (atMs - look.atMs) / MS_PER_SECOND) * share,
        0,
    );
    const neighbours = looks.flatMap(look =>
        look.neighbours.map(({ image, weight }) => ({ image, weight: weight * share }))
    );
    return { headroom, neighbours };
}
