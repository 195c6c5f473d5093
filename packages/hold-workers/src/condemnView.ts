/** What the decision about a silent worker is made by; times are monotonic milliseconds. */
export interface CondemnView {
    readonly nowMs: number;
    /** When this process began. */
    readonly startedAtMs: number;
    /** Since when the worker has not answered, or `undefined` when it answers. */
    readonly silentSinceMs: number | undefined;
    /** The platform's list has dropped the worker, or an operator drains it. */
    readonly isGivenUp: boolean;
    /** Whether tasks are bound to it. */
    readonly hasTasks: boolean;
    /** Whether this scheduler should act, by rank among the live ones. */
    readonly isPreferred: boolean;
    /** When this process's own standing announcement was read back. */
    readonly announcedAtMs: number | undefined;
    /** Whether somebody's announcement stands. */
    readonly isCondemned: boolean;
    /** Since when the log has been read without a gap. */
    readonly logContinuousSinceMs: number;
}
