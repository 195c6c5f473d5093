import type { ServingFigure, WeightedNeighbour } from "@sardinestage/learn-behaviour";
import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { HeadroomSample } from "./headroomSample.js";

/** Figures of two replicas are compared when they are no further apart, in milliseconds. */
const MAX_SAMPLE_AGE_MS = 700;
const MS_PER_SECOND = 1000;

/** Weights of neighbours of one image, added up. */
interface NeighbourSum {
    weight: number;
    count: number;
}

/**
 * The newest looks at the replicas of one step, and their sums. Each look is compared with the average of all others:
 * with the sums kept, that costs what is beside the one replica, not what is beside all of them.
 */
export class ReplicaSamples {
    private readonly samples = new Map<Task, HeadroomSample>();
    private readonly neighbourSums = new Map<string, NeighbourSum>();
    private headroomSum = 0;
    private timeSumMs = 0;

    /** Takes a look in place of the replica's last one. */
    recordSample(task: Task, look: HeadroomSample): void {
        this.removeSample(task);
        this.samples.set(task, look);
        this.addToSums(look, 1);
    }

    /**
     * Averages the looks at replicas on other workers, brought to one time.
     *
     * @param change How the headroom changes, a second.
     * @returns Undefined when there was none at about that time.
     */
    computeAverageOfOthers(workerId: string, atMs: number, change: number): ServingFigure | undefined {
        this.dropStale(atMs);
        let count = this.samples.size;
        let headroom = this.headroomSum;
        let times = this.timeSumMs;
        const here: HeadroomSample[] = [];
        for (const look of this.samples.values()) {
            if (look.workerId === workerId) {
                here.push(look);
                count--;
                headroom -= look.headroom;
                times -= look.atMs;
            }
        }
        if (count === 0) {
            return undefined;
        }
        return {
            headroom: (headroom + change * (count * atMs - times) / MS_PER_SECOND) / count,
            neighbours: this.listNeighbours(here, count),
        };
    }

    /** What is beside the replicas other than those left out, as shares of the number of looks. */
    private listNeighbours(leftOut: readonly HeadroomSample[], looks: number): WeightedNeighbour[] {
        const neighbours: WeightedNeighbour[] = [];
        for (const [image, sum] of this.neighbourSums) {
            let { weight, count } = sum;
            for (const look of leftOut) {
                for (const neighbour of look.neighbours) {
                    if (neighbour.image === image) {
                        weight -= neighbour.weight;
                        count--;
                    }
                }
            }
            if (count > 0) {
                neighbours.push({ image, weight: weight / looks });
            }
        }
        return neighbours;
    }

    private dropStale(atMs: number): void {
        for (const [task, look] of this.samples) {
            if (atMs - look.atMs > MAX_SAMPLE_AGE_MS || task.phase !== TaskPhase.Running) {
                this.removeSample(task);
            }
        }
    }

    private removeSample(task: Task): void {
        const look = this.samples.get(task);
        if (look !== undefined) {
            this.samples.delete(task);
            this.addToSums(look, -1);
        }
    }

    private addToSums(look: HeadroomSample, sign: number): void {
        this.headroomSum += sign * look.headroom;
        this.timeSumMs += sign * look.atMs;
        for (const { image, weight } of look.neighbours) {
            const sum = this.neighbourSums.get(image) ?? { weight: 0, count: 0 };
            sum.weight += sign * weight;
            sum.count += sign;
            if (sum.count === 0) {
                this.neighbourSums.delete(image);
            }
            else {
                this.neighbourSums.set(image, sum);
            }
        }
    }
}
