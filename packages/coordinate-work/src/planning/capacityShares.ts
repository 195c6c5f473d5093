import type { Metrics } from "@sardinestage/count-metrics";
import type { EventLogger } from "@sardinestage/log-events";
import type { StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { formatShareGroup } from "./formatShareGroup.js";
import { QueueUsage } from "./queueUsage.js";
import { ShareGroup } from "./shareGroup.js";
import { ShareReporter } from "./shareReporter.js";

/** Dependencies of `CapacityShares`. */
interface CapacitySharesParts {
    readonly logger: EventLogger;
    readonly metrics: Metrics;
    readonly listWorkers: () => Iterable<TrackedWorker>;
}

/** Ranks the waiting demands of each round so that queues of one service and priority share its capacity. */
export class CapacityShares {
    private readonly usage = new QueueUsage();
    private readonly reporter: ShareReporter;

    constructor(private readonly parts: CapacitySharesParts) {
        this.reporter = new ShareReporter(parts);
    }

    /**
     * Sets the share ranks of a round's demands and reports the shares.
     *
     * @param demands All waiting demands, also those that the round won't come to.
     * @param capacities Free capacity of the workers.
     * @param nowMs Steady milliseconds.
     */
    updateRanks(demands: readonly StepDemand[], capacities: readonly WorkerCapacity[], nowMs: number): void {
        this.usage.refresh(this.parts.listWorkers(), nowMs);
        const groups = new Map<string, ShareGroup>();
        for (const [name, usage] of this.usage.listGroups()) {
            groups.set(name, new ShareGroup(usage));
        }
        for (const demand of demands) {
            const { queue } = demand.step.occurrence.job;
            const name = formatShareGroup(queue);
            const { service, priority } = queue;
            const group = groups.get(name) ?? new ShareGroup({ service, priority, queues: new Map() });
            groups.set(name, group);
            group.addDemand(demand, queue);
        }
        const shares = [...groups.values()].flatMap(group => group.updateRanks(capacities));
        if (this.reporter.isDue(nowMs)) {
            this.reporter.reportShares(shares, nowMs);
        }
    }

    /** Reports the shares if no round has done so for long, because no demand waits. */
    reportIdle(nowMs: number): void {
        if (this.reporter.isDue(nowMs)) {
            this.updateRanks([], [], nowMs);
        }
    }
}
