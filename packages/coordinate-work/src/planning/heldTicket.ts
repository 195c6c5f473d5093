/** A ticket permits a step on a worker until the worker restarts. */
export interface HeldTicket {
    readonly ticket: string;
    /** When the life of the worker began that the ticket is for, in Unix milliseconds. */
    readonly bornMs: number;
    /** Until when a start may be planned with the ticket, in steady milliseconds: the start takes time to get there. */
    readonly plannableUntilMs: number;
    /** Until when a start may be sent with the ticket, in steady milliseconds. */
    readonly untilMs: number;
}
