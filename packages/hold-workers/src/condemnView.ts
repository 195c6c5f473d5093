/** Input of the decision about a silent worker. Times are monotonic milliseconds. */
export interface CondemnView {
    readonly nowMs: number;
    /** When this process started. */
    readonly startedAtMs: number;
    /** When the first call without an answer was sent, or `undefined` when the worker answers. */
    readonly silentSinceMs: number | undefined;
    /** Whether the platform's VM list no longer contains the worker, or an operator drains it. */
    readonly isRemovedOrDrained: boolean;
    /** Whether tasks are bound to the worker. */
    readonly hasTasks: boolean;
    /** Whether this scheduler ranks first among the live ones for the worker, and so should act. */
    readonly isPreferred: boolean;
    /** When this process read its own announcement back from the log; `undefined` without one in force. */
    readonly announcedAtMs: number | undefined;
    /** Whether a condemnation by any scheduler is in force. */
    readonly isCondemned: boolean;
    /** Since when the log has been read without a gap; plus infinity while there is a gap. */
    readonly logContinuousSinceMs: number;
}
