import type { Metrics } from "@sardinestage/count-metrics";
import type { AdvicePort, Clock, RecordCodec, StorePort, VmPort, WorkerPort } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";

/** Ports to the platform and local services such as the clock and logger, shared by a process and its coordinator. */
export interface PlatformParts {
    readonly store: StorePort;
    readonly workers: WorkerPort;
    readonly advice: AdvicePort;
    readonly vms: VmPort;
    readonly codec: RecordCodec;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
}
