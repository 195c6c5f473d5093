import type { Resources, TaskSpec } from "@sardinestage/types";

/** A worker on which this scheduler may place tasks. */
export interface CandidateWorker {
    readonly worker: string;
    readonly rack: string;
    readonly capacity: Resources;
    /** Tasks that are bound to the worker, including those whose binding is not yet read back from the log. */
    readonly residents: readonly TaskSpec[];
    /** Whether the worker takes only one task at a time, because tasks failed on it and none has succeeded since. */
    readonly onProbation: boolean;
}
