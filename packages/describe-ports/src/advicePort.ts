import type { AdviceAnswer } from "./adviceAnswer.js";

/** The advice service, which decides on which workers a step may run. Only queues with an advice policy need it. */
export interface AdvicePort {
    requestTickets(jobId: string, occurrence: number, step: number, workers: readonly string[]): Promise<AdviceAnswer>;
}
