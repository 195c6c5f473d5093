/** How long a page of the newest records is waited for, and who is told that it arrives. */
export interface PageOptions {
    /** Timeout of the start of the answer, in milliseconds. */
    readonly timeoutMs: number;
    /** Called when the answer has begun to arrive. */
    readonly onStart?: () => void;
}
