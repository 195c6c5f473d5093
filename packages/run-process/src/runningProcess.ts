/** A process that has started. */
export interface RunningProcess {
    /** Takes no new work, finishes what is in progress, gives back what it holds. */
    drain(): Promise<void>;
}
