/** Where the waiting tasks of a step would start now, or why they wait. */
export interface StepExplanation {
    readonly occurrence: number;
    readonly step: number;
    readonly taskCount: number;
    /** Tasks that have a run now. */
    readonly activeCount: number;
    readonly waitingCount: number;
    /** Earlier steps that must be done first; empty if the step is ready. */
    readonly waitsForSteps: readonly number[];
    /** Where tasks would start, one entry per worker. */
    readonly placements: readonly {
        readonly workerId: string;
        /** Indexes of the tasks. */
        readonly tasks: readonly number[];
        readonly reasons: readonly string[];
    }[];
    /** Why further tasks wait; undefined if all considered tasks would start. */
    readonly waitReason?: string;
    /** Workers that could take a task of the step before any of its tasks is placed. */
    readonly candidateCount: number;
    /** The other workers, counted by the first reason that rules them out. */
    readonly ruledOut: readonly { readonly reason: string; readonly workers: number }[];
}
