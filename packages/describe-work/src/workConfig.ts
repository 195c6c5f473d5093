import type { CallerLimits } from "./callerLimits.js";
import type { QueueConfig } from "./queueConfig.js";
import type { ServiceConfig } from "./serviceConfig.js";

/** A version of the operator's configuration, in full. */
export interface WorkConfig {
    /** Rises with each version, in uneven steps. */
    readonly version: number;
    readonly queues: readonly QueueConfig[];
    readonly services: readonly ServiceConfig[];
    readonly limits: CallerLimits;
}
