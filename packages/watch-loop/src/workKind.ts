/** What a process spends its one thread on. */
export enum WorkKind {
    /** Deciding what starts where. */
    Rounds,
    /** Taking what workers list into the state. */
    Answers,
    /** Deciding how fast filling tasks may work. */
    Pace,
}
