/** Why a worker may get no start. */
export enum UnusableReason {
    Unlisted = "Unlisted",
    Draining = "Draining",
    Silent = "Silent",
    /** No report of its present life has been applied. */
    Unreported = "Unreported",
    /** It has runs that no task needs, and which may use unknown capacity. */
    StrayRuns = "StrayRuns",
    /** It has refused a start a moment ago. */
    Paused = "Paused",
    Probation = "Probation",
    /** Its trial after a probation has a run already. */
    OnTrial = "OnTrial",
    /** Its failure domain is evacuated, and nothing else keeps it from getting starts. */
    Evacuated = "Evacuated",
}
