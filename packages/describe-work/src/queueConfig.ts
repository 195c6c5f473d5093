import type { AdvicePolicy } from "./advicePolicy.js";

/** A queue of jobs, as the operator configures it. */
export interface QueueConfig {
    readonly name: string;
    /** Host name of the requests that belong to the queue. */
    readonly host: string;
    /** Path prefix of the requests that belong to the queue; if several queues match, the longest prefix wins. */
    readonly pathPrefix: string;
    /** The service whose workers run the tasks. */
    readonly service: string;
    /** A lower number is scheduled first. Tasks of priority 0 may preempt others. */
    readonly priority: number;
    /** A job fails as soon as one of its tasks has failed this many times. */
    readonly maxAttempts: number;
    /** Allowed duration of a job, as a multiple of its critical path. */
    readonly stretch: number;
    /** Allowed duration of a job in addition to `stretch` times its critical path, in milliseconds. */
    readonly targetLatencyMs: number;
    /** Set if the steps need permission from the advice service. */
    readonly advice?: AdvicePolicy;
}
