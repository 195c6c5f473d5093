import type { QueueConfig } from "@sardinestage/describe-work";
import type { StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import { compareDemands, isInterrupted } from "@sardinestage/plan-starts";
import type { QueueLoad, ShareDemand } from "@sardinestage/share-capacity";
import { computeShareLevel, computeShareRanks, ShareRank } from "@sardinestage/share-capacity";
import type { GroupUsage } from "./groupUsage.js";
import type { QueueShare } from "./queueShare.js";

/** The waiting demands of one queue. */
interface QueueDemands {
    readonly demands: StepDemand[];
    waitingCpuMillis: number;
}

const noUsage = { usedCpuMillis: 0, heldCpuMillis: 0 };

/** The queues of one service and priority in one planning round, which share capacity. */
export class ShareGroup {
    private readonly queues = new Map<string, QueueDemands>();
    private smallestCpuMillis = Infinity;
    private areAllBestEffort = true;

    constructor(private readonly usage: GroupUsage) {
        for (const queue of usage.queues.keys()) {
            this.queues.set(queue, { demands: [], waitingCpuMillis: 0 });
        }
    }

    /** Adds a waiting demand of one of the queues. */
    addDemand(demand: StepDemand, { name }: QueueConfig): void {
        const queue = this.queues.get(name) ?? { demands: [], waitingCpuMillis: 0 };
        this.queues.set(name, queue);
        queue.demands.push(demand);
        if (isUseless(demand)) {
            return;
        }
        const { cpuMillis, isBestEffort } = demand.step.spec;
        queue.waitingCpuMillis += computeWaitingCpu(demand);
        this.smallestCpuMillis = Math.min(this.smallestCpuMillis, Math.max(1, cpuMillis));
        this.areAllBestEffort &&= isBestEffort;
    }

    /**
     * Sets the ranks of all demands. One queue alone shares with no other, so its demands get none.
     *
     * @param capacities Free capacity of the workers.
     * @returns The queues' shares.
     */
    updateRanks(capacities: readonly WorkerCapacity[]): readonly QueueShare[] {
        const loads = [...this.queues].map(([queue, { waitingCpuMillis }]) => {
            const { usedCpuMillis, heldCpuMillis } = this.usage.queues.get(queue) ?? noUsage;
            return { queue, usedCpuMillis, heldCpuMillis, waitingCpuMillis };
        });
        const usedCpuMillis = loads.reduce((sum, load) => sum + load.usedCpuMillis, 0);
        const level = computeShareLevel(loads, usedCpuMillis + this.computeUsableCpu(capacities));
        if (loads.length > 1) {
            loads.forEach(load => setRanks(this.queues.get(load.queue)?.demands ?? [], load, level));
        }
        const { service, priority } = this.usage;
        return loads.map(load => {
            const shareCpuMillis = Math.min(load.usedCpuMillis + load.waitingCpuMillis, level);
            return { ...load, service, priority, shareCpuMillis };
        });
    }

    /** Computes the free capacity that tasks of the smallest waiting size can use: smaller pieces are no use to any. */
    private computeUsableCpu(capacities: readonly WorkerCapacity[]): number {
        if (this.smallestCpuMillis === Infinity) {
            return 0;
        }
        return capacities.filter(capacity => capacity.service === this.usage.service).reduce((sum, capacity) => {
            const bestEffortCpuMillis = this.areAllBestEffort ? capacity.bestEffortCpuMillis : 0;
            const tasks = Math.floor((capacity.freeCpuMillis - bestEffortCpuMillis) / this.smallestCpuMillis);
            return sum + Math.max(0, tasks) * this.smallestCpuMillis;
        }, 0);
    }
}

/** Sets the ranks of one queue's demands. Only a queue that reaches the level in the midst of them needs their order. */
function setRanks(demands: readonly StepDemand[], load: QueueLoad, level: number): void {
    const isSplit = load.usedCpuMillis < level && load.usedCpuMillis + load.waitingCpuMillis > level;
    const ordered = isSplit ? [...demands].sort(compareDemands) : demands;
    const ranks = computeShareRanks(load, level, ordered.map(convertDemand));
    ordered.forEach((demand, index) => {
        // Users do without an interrupted task, so such tasks start in the order of their urgency.
        demand.shareRank = isInterrupted(demand) ? ShareRank.Within : ranks[index];
    });
}

function convertDemand(demand: StepDemand): ShareDemand {
    return { cpuMillis: computeWaitingCpu(demand), isUseless: isUseless(demand) };
}

function computeWaitingCpu({ step }: StepDemand): number {
    return step.waitingCount * step.spec.cpuMillis;
}

/** Whether the job can earn nothing any more. A long-running job earns by what runs, however late it starts. */
function isUseless(demand: StepDemand): boolean {
    return demand.lateSlackMs < 0 && !demand.step.spec.longRunning;
}
