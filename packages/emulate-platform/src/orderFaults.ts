/** Faults injected into the delivery of orders to workers. */
export interface OrderFaults {
    /** Share of the orders that get no answer and are applied late, 0 to 1. */
    delayedShare: number;
    /** Maximum delay of a late order after the caller's timeout, in milliseconds. */
    maxDelayMs: number;
}
