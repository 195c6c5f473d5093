import type { AdvicePolicy } from "./advicePolicy.js";

/** A queue of jobs, as the operator configures it. */
export interface QueueConfig {
    readonly name: string;
    /** Host of the requests that belong to the queue. */
    readonly host: string;
    /** Requests whose path begins with this belong to the queue; the longest prefix wins. */
    readonly pathPrefix: string;
    /** The service whose workers run the tasks. */
    readonly service: string;
    /** 0 comes first and may displace others. */
    readonly priority: number;
    /** A task that failed so often fails its job. */
    readonly maxAttempts: number;
    /** Allowed duration of a job, as a multiple of its longest chain. */
    readonly stretch: number;
    /** Allowed duration of a job on top of `stretch`, in milliseconds. */
    readonly targetLatencyMs: number;
    readonly advice?: AdvicePolicy;
}
