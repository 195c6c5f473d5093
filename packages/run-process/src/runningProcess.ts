/** A started process. */
export interface RunningProcess {
    /** Stops accepting work, finishes the work in progress, and releases held leases and other resources. */
    drain(): Promise<void>;
}
