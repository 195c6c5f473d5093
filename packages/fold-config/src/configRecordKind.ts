/** Kinds of record in the configuration's stream. */
export enum ConfigRecordKind {
    /** An operator's change. */
    Publish = "publish",
    /** The accepted configuration written once more, before retention drops it. */
    Retain = "retain",
}
