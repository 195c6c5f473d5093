/** A queue whose steps may run only on workers that the advice service names. */
export interface AdvicePolicy {
    /** Time that the service takes for a call, in milliseconds. */
    readonly decideMs: number;
    /** Time that it takes more for each worker named, in milliseconds. */
    readonly eachMs: number;
    /** How long a ticket holds, in milliseconds. */
    readonly validMs: number;
}
