/** Which of a round's tasks start on workers that are on trial. */
export enum TrialAccess {
    /** Those whose end tells whether the worker is sound. */
    Telling,
    /** All tasks, where no other run on the worker is open; for those that have found no other worker. */
    All,
}
