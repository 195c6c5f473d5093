import type { ServingMeasurement, WeightedNeighbour } from "@sardinestage/learn-behaviour";
import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { HeadroomSample } from "./headroomSample.js";

/** Samples older than this are dropped, in milliseconds, so that replicas are compared at about the same time. */
const MAX_SAMPLE_AGE_MS = 700;
const MS_PER_SECOND = 1000;

/** The neighbours of one image beside all sampled replicas. */
interface NeighbourSum {
    /** The sum of the neighbours' weights. */
    weight: number;
    /** The number of samples that have the image as a neighbour. */
    count: number;
}

/**
 * The newest samples of the replicas of one step, and their sums. Each sample is compared with the average of all
 * others: with the sums kept, the cost depends on the neighbours of one replica, not on those of all replicas.
 */
export class ReplicaSamples {
    private readonly samples = new Map<Task, HeadroomSample>();
    private readonly neighbourSums = new Map<string, NeighbourSum>();
    private headroomSum = 0;
    private timeSumMs = 0;

    /** Records a sample in place of the replica's last one. */
    recordSample(task: Task, sample: HeadroomSample): void {
        this.removeSample(task);
        this.samples.set(task, sample);
        this.addToSums(sample, 1);
    }

    /**
     * Averages the samples of replicas on other workers, adjusted to one time by the change of the headroom.
     *
     * @param workerId The worker whose replicas are left out.
     * @param atMs The time to adjust to, in steady milliseconds.
     * @param change The change of the headroom per second.
     * @returns The average; undefined without samples of other workers from about that time.
     */
    computeAverageOfOthers(workerId: string, atMs: number, change: number): ServingMeasurement | undefined {
        this.dropStale(atMs);
        let count = this.samples.size;
        let headroomSum = this.headroomSum;
        let timeSumMs = this.timeSumMs;
        const excluded: HeadroomSample[] = [];
        for (const sample of this.samples.values()) {
            if (sample.workerId === workerId) {
                excluded.push(sample);
                count--;
                headroomSum -= sample.headroom;
                timeSumMs -= sample.atMs;
            }
        }
        if (count === 0) {
            return undefined;
        }
        return {
            headroom: (headroomSum + change * (count * atMs - timeSumMs) / MS_PER_SECOND) / count,
            neighbours: this.listNeighbours(excluded, count),
        };
    }

    /** Averages the weight of each neighbouring image over the samples that aren't excluded. */
    private listNeighbours(excluded: readonly HeadroomSample[], sampleCount: number): WeightedNeighbour[] {
        const neighbours: WeightedNeighbour[] = [];
        for (const [image, sum] of this.neighbourSums) {
            let { weight, count } = sum;
            for (const sample of excluded) {
                for (const neighbour of sample.neighbours) {
                    if (neighbour.image === image) {
                        weight -= neighbour.weight;
                        count--;
                    }
                }
            }
            if (count > 0) {
                neighbours.push({ image, weight: weight / sampleCount });
            }
        }
        return neighbours;
    }

    private dropStale(atMs: number): void {
        for (const [task, sample] of this.samples) {
            if (atMs - sample.atMs > MAX_SAMPLE_AGE_MS || task.phase !== TaskPhase.Running) {
                this.removeSample(task);
            }
        }
    }

    private removeSample(task: Task): void {
        const sample = this.samples.get(task);
        if (sample !== undefined) {
            this.samples.delete(task);
            this.addToSums(sample, -1);
        }
    }

    private addToSums(sample: HeadroomSample, sign: number): void {
        this.headroomSum += sign * sample.headroom;
        this.timeSumMs += sign * sample.atMs;
        for (const { image, weight } of sample.neighbours) {
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
