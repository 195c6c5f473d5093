/** What a log tells of the requests that had no answer in time, by event. */
export interface AnswerMargin {
    readonly event: string;
    readonly isCalm: boolean;
    lines: number;
    /** The longest time that a request took, in milliseconds, and when it ended. */
    mostTookMs: number;
    mostTookSecond: number;
    /** Lines by whole second. */
    readonly linesBySecond: Map<number, number>;
}
