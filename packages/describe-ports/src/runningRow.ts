import type { TaskRef } from "@sardinestage/describe-work";

/** A run that is at work. */
export interface RunningRow {
    readonly task: TaskRef;
    readonly run: number;
    readonly checkpoint: string;
    /** Progress; of a long-running task 100 once it is at work. */
    readonly percent: number;
    /** Of a serving task its tail latency in milliseconds, of any other the thousandths of a core in use. */
    readonly figure: number;
}
