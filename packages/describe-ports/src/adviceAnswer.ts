import type { AdviceTicket } from "./adviceTicket.js";

/** The advice service's answer: undefined tickets when it refused or didn't answer. */
export interface AdviceAnswer {
    readonly tickets: readonly AdviceTicket[] | undefined;
    /** How long the tickets hold, in milliseconds. */
    readonly validMs: number;
}
