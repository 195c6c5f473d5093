import type { AdviceTicket } from "./adviceTicket.js";

/** The advice service's answer to a request for tickets. */
export interface AdviceAnswer {
    /** One ticket for each permitted worker; undefined if the service refused the call or didn't answer. */
    readonly tickets: readonly AdviceTicket[] | undefined;
    /** How long the tickets are valid, in milliseconds. */
    readonly validMs: number;
}
