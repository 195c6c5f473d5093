import type { ServingFigure, WeightedNeighbour } from "@sardinestage/learn-behaviour";
import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { Look } from "./look.js";

/** Figures of two replicas are compared when they are no further apart, in milliseconds. */
const SAME_TIME_MS = 700;
const MS_PER_SECOND = 1000;

/** Weights of neighbours of one image, added up. */
interface ImageSum {
    weight: number;
    count: number;
}

/**
 * The newest looks at the replicas of one step, and their sums. Each look is compared with the average of all others:
 * with the sums kept, that costs what is beside the one replica, not what is beside all of them.
 */
export class ReplicaLooks {
    private readonly looks = new Map<Task, Look>();
    private readonly images = new Map<string, ImageSum>();
    private headrooms = 0;
    private times = 0;

    /** Takes a look in place of the replica's last one. */
    takeLook(task: Task, look: Look): void {
        this.removeLook(task);
        this.looks.set(task, look);
        this.addToSums(look, 1);
    }

    /**
     * Averages the looks at replicas on other workers, brought to one time.
     *
     * @param change How the headroom changes, a second.
     * @returns Undefined when there was none at about that time.
     */
    computeOthers(workerId: string, atMs: number, change: number): ServingFigure | undefined {
        this.dropOld(atMs);
        let count = this.looks.size;
        let headroom = this.headrooms;
        let times = this.times;
        const here: Look[] = [];
        for (const look of this.looks.values()) {
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
    private listNeighbours(leftOut: readonly Look[], looks: number): WeightedNeighbour[] {
        const neighbours: WeightedNeighbour[] = [];
        for (const [image, sum] of this.images) {
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

    private dropOld(atMs: number): void {
        for (const [task, look] of this.looks) {
            if (atMs - look.atMs > SAME_TIME_MS || task.phase !== TaskPhase.Running) {
                this.removeLook(task);
            }
        }
    }

    private removeLook(task: Task): void {
        const look = this.looks.get(task);
        if (look !== undefined) {
            this.looks.delete(task);
            this.addToSums(look, -1);
        }
    }

    private addToSums(look: Look, sign: number): void {
        this.headrooms += sign * look.headroom;
        this.times += sign * look.atMs;
        for (const { image, weight } of look.neighbours) {
            const sum = this.images.get(image) ?? { weight: 0, count: 0 };
            sum.weight += sign * weight;
            sum.count += sign;
            if (sum.count === 0) {
                this.images.delete(image);
            }
            else {
                this.images.set(image, sum);
            }
        }
    }
}
