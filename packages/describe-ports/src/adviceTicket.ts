/** The advice service's permission to run a step on a worker. */
export interface AdviceTicket {
    readonly workerId: string;
    readonly ticket: string;
}
