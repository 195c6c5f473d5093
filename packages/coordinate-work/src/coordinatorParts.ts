import type { Metrics } from "@sardinestage/count-metrics";
import type { AdvicePort, Clock, RecordCodec, StorePort, VmPort, WorkerPort } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";
import type { CoordinatorRules } from "./coordinatorRules.js";

/** What a coordinator works with. */
export interface CoordinatorParts {
    readonly store: StorePort;
    readonly workers: WorkerPort;
    readonly advice: AdvicePort;
    readonly vms: VmPort;
    readonly codec: RecordCodec;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
    readonly rules: CoordinatorRules;
    /** The term that was won: the fencing token of all orders and the epoch of all records. */
    readonly term: number;
    /** Whether an earlier coordinator may have started work without recording it. */
    readonly hadUnrecordedStarts: boolean;
    /** Called once when somebody else has taken over. */
    readonly onDeposed: (reason: string) => void;
}
