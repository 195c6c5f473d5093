/** The holder of a worker's lease according to the log. */
export interface WorkerHold {
    readonly token: number;
    readonly holder: string;
    readonly changedAtMs: number;
}
