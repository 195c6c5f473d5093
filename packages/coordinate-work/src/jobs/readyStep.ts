import type { StepRun, Task } from "@sardinestage/track-jobs";
import { limits } from "../limits.js";

/** A step that has tasks to start. Valid until the step's job has changed. */
export class ReadyStep {
    private listed: readonly Task[] | undefined;

    constructor(readonly step: StepRun) {}

    /** The tasks that wait for a worker: as many as one round may start, or all of a gang, which starts as a whole. */
    get waiting(): readonly Task[] {
        this.listed ??= this.step.listWaiting(this.step.spec.gang ? Infinity : limits.maxStartsPerRound);
        return this.listed;
    }
}
