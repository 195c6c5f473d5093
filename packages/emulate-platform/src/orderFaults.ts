/** What is wrong with the way to the workers. */
export interface OrderFaults {
    /** Share of the orders that get no answer and are carried out late. */
    lateShare: number;
    /** How late at most, in milliseconds. */
    lateMs: number;
}
