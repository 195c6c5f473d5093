/** A worker that is expected to run tasks more slowly than others. */
export interface UnevenWorker {
    /** How many times as long as expected recent tasks took there; 1 if they took no longer. */
    readonly slowness: number;
    /** Whether the worker has started so recently that it is still slow. */
    readonly isCold: boolean;
}
