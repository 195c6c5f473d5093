/** A span of a day, in seconds since the start of its traffic; its end isn't part of it. */
export interface Span {
    readonly fromSecond: number;
    readonly toSecond: number;
}
