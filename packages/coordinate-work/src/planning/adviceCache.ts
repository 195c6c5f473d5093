import type { Task } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import { StepAdvice } from "./stepAdvice.js";

/** Keeps what the advice service has told of the steps of queues that need advice. */
export class AdviceCache {
    /** By job id, then by occurrence and step. */
    private readonly jobs = new Map<string, Map<string, StepAdvice>>();

    /** @param getLife Returns when a worker's present life began, in Unix milliseconds. */
    constructor(
        private readonly parts: Pick<CoordinatorParts, "clock">,
        private readonly getLife: (workerId: string) => number,
    ) {}

    /** Whether the advice service lets a task start on a worker; always true for queues that need no advice. */
    isAdvised(task: Task, workerId: string): boolean {
        return task.step.occurrence.job.queue.advice === undefined
            || this.findStep(task)?.isAdvised(workerId, this.parts.clock.getNow()) === true;
    }

    /** Gets the valid ticket for a task on a worker; empty if there is none. */
    getTicket(task: Task, workerId: string): string {
        const found = this.findStep(task)?.getTicket(workerId);
        return found !== undefined && found.untilMs > this.parts.clock.getNow() ? found.ticket : "";
    }

    /** Drops a ticket that a worker has refused: it may be one for an earlier life of the worker. */
    dropTicket(task: Task, workerId: string): void {
        this.findStep(task)?.dropTicket(workerId);
    }

    /** Drops a job's tickets. */
    dropJob(jobId: string): void {
        this.jobs.delete(jobId);
    }

    /** Drops the steps that don't wait and hold no ticket any more: a job may have occurrences without end. */
    dropUnused(waiting: ReadonlySet<StepAdvice>): void {
        const nowMs = this.parts.clock.getNow();
        for (const [jobId, steps] of this.jobs) {
            for (const [key, advice] of steps) {
                if (!waiting.has(advice) && !advice.isAsked && !advice.hasAnyTicket(nowMs)) {
                    steps.delete(key);
                }
            }
            if (steps.size === 0) {
                this.jobs.delete(jobId);
            }
        }
    }

    /** Gets what is kept of a task's step; creates it if nothing is. */
    getOrAddStep(task: Task): StepAdvice {
        const { jobId } = task.ref;
        const steps = this.jobs.get(jobId) ?? new Map<string, StepAdvice>();
        const key = formatStepKey(task);
        const advice = steps.get(key) ?? new StepAdvice(this.getLife);
        steps.set(key, advice);
        this.jobs.set(jobId, steps);
        return advice;
    }

    private findStep(task: Task): StepAdvice | undefined {
        return this.jobs.get(task.ref.jobId)?.get(formatStepKey(task));
    }
}

function formatStepKey({ ref }: Task): string {
    return `${ref.occurrence}/${ref.step}`;
}
