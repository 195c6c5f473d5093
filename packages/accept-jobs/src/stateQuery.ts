import { CoordinatorSilence } from "./coordinatorSilence.js";
import { StateReadStep } from "./stateReadStep.js";
import { StoreSilence } from "./storeSilence.js";

/** A question for a job's state: who hasn't answered it so far, and why. */
export class StateQuery {
    /** Why the coordinator hasn't answered. */
    coordinator = CoordinatorSilence.TimedOut;
    /** Why the store hasn't answered. */
    store = StoreSilence.NotAsked;
    /** The step in which the store is read, or was read last. */
    step = StateReadStep.None;

    /** @param untilMs When to give up, in steady milliseconds. */
    constructor(readonly id: string, readonly untilMs: number) {}

    /** Notes that a step of reading the store has begun. */
    noteStep(step: StateReadStep): void {
        this.step = step;
        this.store = StoreSilence.TimedOut;
    }
}
