import type { AdviceAnswer } from "./adviceAnswer.js";

/** Tells which workers may run a step of a queue with advice. */
export interface AdvicePort {
    requestTickets(jobId: string, occurrence: number, step: number, workers: readonly string[]): Promise<AdviceAnswer>;
}
