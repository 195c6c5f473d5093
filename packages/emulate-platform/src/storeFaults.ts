/** What is wrong with an emulated store. */
export interface StoreFaults {
    /** It answers nothing, and does nothing. */
    isDown: boolean;
    /** Share of the appends that are done and not answered. */
    lostShare: number;
    /** Appends without an answer are carried out so much later, in milliseconds. */
    lateMs: number;
    /** Time that it takes for an answer, in milliseconds. */
    answerMs: number;
}
