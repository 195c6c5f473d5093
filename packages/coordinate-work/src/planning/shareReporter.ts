import type { Metrics } from "@sardinestage/count-metrics";
import type { EventLogger } from "@sardinestage/log-events";
import type { QueueShare } from "./queueShare.js";

/** Least time between two reports, in milliseconds: rounds run many times a second. */
const REPORT_INTERVAL_MS = 1000;

/** Dependencies of `ShareReporter`. */
interface ShareReporterParts {
    readonly logger: EventLogger;
    readonly metrics: Metrics;
}

/** Sets the gauges of the queues' shares, and logs a queue that uses more than its share while others wait. */
export class ShareReporter {
    private reportedAtMs = -Infinity;
    private reportedQueues: readonly string[] = [];

    constructor(private readonly parts: ShareReporterParts) {}

    /** Whether the last report is long enough ago. */
    isDue(nowMs: number): boolean {
        return nowMs - this.reportedAtMs >= REPORT_INTERVAL_MS;
    }

    /** Reports the shares of a round. */
    reportShares(shares: readonly QueueShare[], nowMs: number): void {
        this.reportedAtMs = nowMs;
        const queues = shares.map(({ queue }) => queue);
        this.reportedQueues.filter(queue => !queues.includes(queue)).forEach(queue => this.setGauges(queue, 0, 0, 0));
        this.reportedQueues = queues;
        shares.forEach(share =>
            this.setGauges(share.queue, share.usedCpuMillis, share.shareCpuMillis, share.waitingCpuMillis)
        );
        const over = shares.filter(share => computeExcess(share) > 0 && hasShortPeer(share, shares))
            .sort((left, right) => computeExcess(right) - computeExcess(left));
        if (over.length > 0) {
            this.writeExcess(over[0], over.length);
        }
    }

    private setGauges(queue: string, usedCpuMillis: number, shareCpuMillis: number, waitingCpuMillis: number): void {
        const { metrics } = this.parts;
        metrics.setGauge("queue_used_cpu_millis", usedCpuMillis, queue);
        metrics.setGauge("queue_share_cpu_millis", shareCpuMillis, queue);
        metrics.setGauge("queue_waiting_cpu_millis", waitingCpuMillis, queue);
    }

    private writeExcess(share: QueueShare, queuesOver: number): void {
        this.parts.logger.info("queue-over-share", {
            queue: share.queue,
            service: share.service,
            priority: share.priority,
            usedCpuMillis: share.usedCpuMillis,
            longRunningCpuMillis: share.heldCpuMillis,
            shareCpuMillis: Math.round(share.shareCpuMillis),
            waitingCpuMillis: share.waitingCpuMillis,
            queuesOver,
        });
    }
}

function computeExcess(share: QueueShare): number {
    return share.usedCpuMillis - share.shareCpuMillis;
}

/** Whether a queue with the same service and priority waits while it uses less than its share. */
function hasShortPeer(share: QueueShare, shares: readonly QueueShare[]): boolean {
    return shares.some(other =>
        other.service === share.service && other.priority === share.priority
        && other.waitingCpuMillis > 0 && other.usedCpuMillis < other.shareCpuMillis
    );
}
