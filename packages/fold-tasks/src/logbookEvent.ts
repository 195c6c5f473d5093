/** Kinds of events in the logbook. */
export enum LogbookEvent {
    Submitted = "submitted",
    Bound = "bound",
    Started = "started",
    Throttled = "throttled",
    Stopped = "stopped",
    Checkpointed = "checkpointed",
    Evicted = "evicted",
    Lapsed = "lapsed",
    Released = "released",
    Succeeded = "succeeded",
    Failed = "failed",
    CancelRequested = "cancel-requested",
    Cancelled = "cancelled",
    Parked = "parked",
    Unparked = "unparked",
}
