import type { CoordinatorRules } from "@sardinestage/coordinate-work";
import type { Metrics } from "@sardinestage/count-metrics";
import type { AdvicePort, Clock, RecordCodec, StorePort, VmPort, WorkerPort } from "@sardinestage/describe-ports";
import type { WorkConfig } from "@sardinestage/describe-work";
import type { Candidate } from "@sardinestage/keep-term";
import type { EventLogger } from "@sardinestage/log-events";
import type { EntryVmRules } from "./entryVmRules.js";

/** What one process of an entry VM is made of. */
export interface EntryVmParts {
    readonly self: Candidate;
    /** Shared by all processes of an installation. */
    readonly peerKey: string;
    readonly store: StorePort;
    readonly workers: WorkerPort;
    readonly advice: AdvicePort;
    readonly vms: VmPort;
    readonly codec: RecordCodec;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly metrics: Metrics;
    readonly coordinatorRules: CoordinatorRules;
    readonly rules: EntryVmRules;
    /** Called with each newer configuration. */
    readonly onConfig: (config: WorkConfig) => void;
}
