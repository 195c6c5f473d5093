/** Kinds of records in the configuration's stream of the log. */
export enum ConfigRecordKind {
    /** A change published by an operator. */
    Publish = "publish",
    /** A copy of the accepted configuration, written before the log's retention drops the original record. */
    Retain = "retain",
}
