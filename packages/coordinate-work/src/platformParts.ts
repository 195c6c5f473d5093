import type { Metrics } from "@sardinestage/count-metrics";
import type { AdvicePort, Clock, RecordCodec, StorePort, VmPort, WorkerPort } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";

/** The platform and the surroundings of a process, for the process and for the coordinator in it. */
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
