import type { AppendWriter } from "./appendWriter.js";
import type { KeyedRecord } from "./keyedRecord.js";
import type { Topic } from "./topic.js";

/** An append of records, all or nothing. */
export interface AppendCall {
    readonly topic: Topic;
    /** No records with a writer: sets the writer's epoch. */
    readonly records: readonly KeyedRecord[];
    /** Append only if the topic ends at this offset. */
    readonly at?: number;
    readonly writer?: AppendWriter;
    /** How long to wait for the answer, in milliseconds. */
    readonly timeoutMs: number;
}
