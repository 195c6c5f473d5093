/** Which tasks may start on a worker that is on trial after a probation. */
export enum TrialState {
    /** Any task may start; those whose end tells whether the worker is sound go first. */
    Open,
    /** A task is active whose end won't tell: only one whose end tells may start. */
    TellingOnly,
}
