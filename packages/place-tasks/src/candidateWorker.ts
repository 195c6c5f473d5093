import type { Resources, TaskSpec } from "@sardinestage/types";

/** A worker on which this scheduler may place tasks. */
export interface CandidateWorker {
    readonly worker: string;
    readonly rack: string;
    readonly capacity: Resources;
    /** Tasks that run there or are bound to it. */
    readonly residents: readonly TaskSpec[];
    /** Whether it takes one task at a time until it has proved itself again. */
    readonly onProbation: boolean;
}
