import type { Metrics } from "@sardinestage/count-metrics";
import type { EventLogger } from "@sardinestage/log-events";
import type { Evacuation, EvacuationView } from "@sardinestage/track-evacuations";
import { buildWorkerCapacity } from "../planning/buildWorkerCapacity.js";
import type { TrackedWorker } from "./trackedWorker.js";

/** Dependencies of an evacuation reporter. */
interface EvacuationReporterParts {
    readonly evacuations: EvacuationView;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
}

/** Logs and counts the evacuations by which this coordinator plans, and the free capacity that each one takes away. */
export class EvacuationReporter {
    private reported = new Map<string, Evacuation>();

    constructor(private readonly parts: EvacuationReporterParts) {}

    /** Reports the evacuations that have started or ended since the last call. */
    reportChanges(workers: Iterable<TrackedWorker>): void {
        const current = this.parts.evacuations.list();
        const isSame = current.length === this.reported.size
            && current.every(({ domain }) => this.reported.has(domain));
        if (isSame) {
            return;
        }
        const tracked = [...workers];
        const domains = new Set(current.map(({ domain }) => domain));
        current.filter(({ domain }) => !this.reported.has(domain))
            .forEach(evacuation => this.reportChange("evacuation-started", evacuation, tracked));
        [...this.reported.values()].filter(({ domain }) => !domains.has(domain))
            .forEach(evacuation => this.reportChange("evacuation-ended", evacuation, tracked));
        this.reported = new Map(current.map(evacuation => [evacuation.domain, evacuation]));
        this.parts.metrics.setGauge("evacuated_domains", current.length);
    }

    private reportChange(
        event: string,
        { domain, offset, source }: Evacuation,
        workers: readonly TrackedWorker[],
    ): void {
        const affected = workers.filter(worker => worker.entry.domain === domain && !worker.isUnlisted);
        const capacities = affected.map(worker => buildWorkerCapacity(worker, 1, () => undefined));
        this.parts.logger.warn(event, {
            domain,
            offset,
            source,
            // None for a failure domain that no listed worker is in.
            workers: affected.length,
            freeCpuMillis: capacities.reduce((sum, capacity) => sum + capacity.freeCpuMillis, 0),
            freeMemoryMb: capacities.reduce((sum, capacity) => sum + capacity.freeMemoryMb, 0),
        });
    }
}
