/** The advice service's permission for a step on a worker. */
export interface AdviceTicket {
    readonly workerId: string;
    readonly ticket: string;
}
