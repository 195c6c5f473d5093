/** What a record of a job's progress holds. */
export enum ChangedRecordKind {
    /** The job's own state; of a small job, also its tasks. */
    Job,
    /** A range of the tasks of a partitioned job's step. */
    Part,
    /** Nothing any more: the record is dropped. */
    Dropped,
}
