import type { StepRun, Task } from "@sardinestage/track-jobs";
import { limits } from "./limits.js";

/** A step that has tasks to start. */
export class ReadyStep {
    constructor(readonly step: StepRun) {}

    /** The tasks that wait for a worker: as many as one round may start, or all of a gang, which starts as a whole. */
    get waiting(): readonly Task[] {
        return this.step.listWaiting(this.step.spec.gang ? Infinity : limits.maxStartsPerRound);
    }
}
