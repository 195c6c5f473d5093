/** Random delays of one kind of call. Each call has a connection of its own, so calls and answers overtake. */
export interface CallDelays {
    /** Maximum additional time until the call arrives, in milliseconds. */
    readonly maxDeliveryMs: number;
    /** Maximum additional time until the answer arrives, in milliseconds. */
    readonly maxAnswerMs: number;
}
