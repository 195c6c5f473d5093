/** Who holds a worker, as the log's order has it. */
export interface WorkerHold {
    readonly token: number;
    readonly holder: string;
    readonly changedAtMs: number;
}
