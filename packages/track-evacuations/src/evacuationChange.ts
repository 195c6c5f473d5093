/** What a record of the operator has changed. */
export enum EvacuationChange {
    Started = "Started",
    Ended = "Ended",
    /** The failure domain was evacuated already. */
    Repeated = "Repeated",
    /** The record ends an evacuation that doesn't exist. */
    NotEvacuated = "NotEvacuated",
    /** The record is known, or a later one of the same failure domain is. */
    Outdated = "Outdated",
}
