/** A line that a process logged while a day was played. */
export interface LogLine {
    /** Seconds since the start of the day's traffic; negative before it. */
    readonly second: number;
    readonly event: string;
    /** The fields of the event. */
    readonly fields: Readonly<Record<string, unknown>>;
}
