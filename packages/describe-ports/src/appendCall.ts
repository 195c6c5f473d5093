import type { AppendWriter } from "./appendWriter.js";
import type { KeyedRecord } from "./keyedRecord.js";
import type { Topic } from "./topic.js";

/** A request to append records to a topic; either all of them are written or none. */
export interface AppendCall {
    readonly topic: Topic;
    /** An append by a writer may be empty; it then only registers the writer's epoch. */
    readonly records: readonly KeyedRecord[];
    /** The append succeeds only if the topic ends at this offset. */
    readonly at?: number;
    /** Identifies the writer, for appends that are deduplicated and fenced. */
    readonly writer?: AppendWriter;
    /** How long to wait for the answer, in milliseconds. */
    readonly timeoutMs: number;
}
