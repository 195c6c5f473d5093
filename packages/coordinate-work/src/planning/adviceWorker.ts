/** A worker that a ticket may be asked for. */
export interface AdviceWorker {
    readonly workerId: string;
    /** How many tasks of the step may start there now. */
    readonly room: number;
}
