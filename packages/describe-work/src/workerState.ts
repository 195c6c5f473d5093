/** What a worker says of itself. */
export enum WorkerState {
    Ready,
    /** It leaves soon and takes no new work. */
    Draining,
}
