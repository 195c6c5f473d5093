/** Settings of the advice service for a queue. Steps of the queue may run only on workers that the service permits. */
export interface AdvicePolicy {
    /** Fixed time that the service takes for each call, in milliseconds. */
    readonly decideMs: number;
    /** Additional time that the service takes for each worker in a call, in milliseconds. */
    readonly eachMs: number;
    /** How long a ticket is valid, in milliseconds. */
    readonly validMs: number;
}
