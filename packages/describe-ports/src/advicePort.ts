import type { AdviceAnswer } from "./adviceAnswer.js";

/** The advice service, which decides on which workers a step may run. Only queues with an advice policy need it. */
export interface AdvicePort {
    /**
     * Requests tickets for the workers that may run a step.
     *
     * @param timeoutMs After this the call counts as unanswered, in milliseconds from now.
     */
    requestTickets(
        jobId: string,
        occurrence: number,
        step: number,
        workers: readonly string[],
        timeoutMs: number,
    ): Promise<AdviceAnswer>;
}
