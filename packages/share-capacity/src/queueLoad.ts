/** What one queue uses and waits for, in thousandths of a core. */
export interface QueueLoad {
    /** Used by running and ordered tasks; best-effort tasks count by what they request. */
    readonly usedCpuMillis: number;
    /** The part of it that long-running tasks use. It doesn't come free by itself, so it can't be divided anew. */
    readonly heldCpuMillis: number;
    /** Requested by waiting tasks, without those of jobs whose result is no longer useful. */
    readonly waitingCpuMillis: number;
}
