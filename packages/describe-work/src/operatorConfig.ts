import type { CallerLimits } from "./callerLimits.js";
import type { QueueConfig } from "./queueConfig.js";
import type { ServiceConfig } from "./serviceConfig.js";

/** One complete version of the operator's configuration. */
export interface OperatorConfig {
    /** Higher for each later version; numbers may be skipped. */
    readonly version: number;
    readonly queues: readonly QueueConfig[];
    readonly services: readonly ServiceConfig[];
    readonly limits: CallerLimits;
}
