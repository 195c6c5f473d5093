import type { Resources, TaskSpec } from "@sardinestage/types";

/** What the workers saw. The oracle of the tests: it records faults and prevents none. */
export class Recorder {
    /** Sentences that say which promise was broken. */
    readonly violations: string[] = [];
    /** Tasks by how often they came to their end. */
    readonly completions = new Map<string, number>();
    /** Requests by how often they ran. */
    readonly requestRuns = new Map<string, number>();
    /** Attempts started. */
    starts = 0;
    /** Attempts that were stopped on request before their end. */
    stops = 0;
    /** Attempts whose lease lapsed. */
    lapses = 0;
    /** Attempts that were started again after a stop or a lapse. */
    resumes = 0;
    /** Requests that were cut off while a target worked on them. */
    requestsCutOff = 0;
    /** Listens to each attempt that starts. */
    onStart: (taskId: string, worker: string) => void = () => {};
    /** Listens to each task that comes to its end. */
    onCompletion: (taskId: string) => void = () => {};
    private readonly running = new Map<string, string>();
    private readonly startedAttempts = new Set<string>();

    /** Notes that an attempt began to run. */
    recordStart(worker: string, spec: TaskSpec, attempt: number): void {
        const { taskId } = spec;
        const other = this.running.get(taskId);
        if (other !== undefined) {
            this.addViolation(`Task ${taskId} started on ${worker} while it ran on ${other}.`);
        }
        const key = `${taskId}#${attempt}`;
        if (this.startedAttempts.has(key)) {
            this.addViolation(`Attempt ${key} started twice, now on ${worker}.`);
        }
        if ((this.completions.get(taskId) ?? 0) > 0) {
            this.addViolation(`Task ${taskId} started on ${worker} after its end.`);
        }
        this.startedAttempts.add(key);
        this.running.set(taskId, worker);
        this.starts++;
        this.resumes += attempt > 1 ? 1 : 0;
        this.onStart(taskId, worker);
    }

    /** Notes that an attempt no longer runs. */
    recordEnd(worker: string, taskId: string): void {
        if (this.running.get(taskId) === worker) {
            this.running.delete(taskId);
        }
    }

    /** Notes that a task came to its end. */
    recordCompletion(taskId: string): void {
        const times = (this.completions.get(taskId) ?? 0) + 1;
        this.completions.set(taskId, times);
        if (times > 1) {
            this.addViolation(`Task ${taskId} came to its end ${times} times.`);
        }
        this.onCompletion(taskId);
    }

    /** Notes what a worker has been given. */
    recordCommitment(worker: string, given: Resources, capacity: Resources): void {
        for (const key of ["cpuMillis", "memoryMb", "accelerators", "slots"] as const) {
            if (given[key] > capacity[key]) {
                this.addViolation(`Worker ${worker} was given ${given[key]} ${key} of ${capacity[key]}.`);
            }
        }
    }

    /** Notes how many requests a worker has open. */
    recordConnections(worker: string, open: number, limit: number): void {
        if (open > limit) {
            this.addViolation(`Worker ${worker} had ${open} requests open of ${limit}.`);
        }
    }

    /** Notes that a request ran. */
    recordRequest(requestId: string, idempotent: boolean): void {
        const times = (this.requestRuns.get(requestId) ?? 0) + 1;
        this.requestRuns.set(requestId, times);
        if (!idempotent && times > 1) {
            this.addViolation(`Non-idempotent request ${requestId} ran ${times} times.`);
        }
    }

    /** Where a task runs now. */
    getRunningWorker(taskId: string): string | undefined {
        return this.running.get(taskId);
    }

    /** Adds a broken promise. */
    addViolation(sentence: string): void {
        this.violations.push(sentence);
    }
}
