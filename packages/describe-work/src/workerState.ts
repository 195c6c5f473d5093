/** State of a worker, as the worker reports it. */
export enum WorkerState {
    Ready,
    /** The worker leaves soon and takes no new tasks. */
    Draining,
}
