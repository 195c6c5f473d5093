/** What is wrong with an emulated store. */
export interface StoreFaults {
    /** It answers nothing, and does nothing. */
    isDown: boolean;
    /** Share of the appends that are done and not answered. */
    lostShare: number;
    /** Time that it takes for an answer, in milliseconds. */
    answerMs: number;
}
