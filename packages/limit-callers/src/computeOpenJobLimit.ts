/** Heap that a process takes besides open jobs: its code and state at rest, and requests and rounds on their way. */
const OTHER_HEAP_SHARE = 2 / 3;

/**
 * Computes how much memory open jobs may take of the process while it coordinates, in bytes.
 *
 * @param heapBytes The largest heap of the process, in bytes.
 * @param explicit A limit that replaces the computed one.
 */
export function computeOpenJobLimit(heapBytes: number, explicit?: number): number {
    return explicit ?? Math.floor(heapBytes * (1 - OTHER_HEAP_SHARE));
}
