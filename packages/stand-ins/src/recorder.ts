import type { Resources, TaskSpec } from "@sardinestage/types";

/**
 * Records what runs on the workers and checks the guarantees: an attempt starts once, a task runs on one worker at a
 * time and succeeds once, a non-idempotent request runs once, and no worker exceeds its capacity or request limit.
 * Tests assert that `violations` is empty; the recorder prevents no violation.
 */
export class Recorder {
    /** One sentence for each violated guarantee. */
    readonly violations: string[] = [];
    /** How often each task succeeded, by task id. */
    readonly completions = new Map<string, number>();
    /** How often each request ran at a replica, by request id. */
    readonly requestRuns = new Map<string, number>();
    /** Attempts that started. */
    starts = 0;
    /** Attempts that were stopped by an order. */
    stops = 0;
    /** Attempts whose lease expired. */
    expirations = 0;
    /** Second and later attempts that started, after an earlier attempt was stopped, expired, failed or was lost. */
    resumes = 0;
    /** Requests that were open at a replica when its attempt ended; deaths of VMs don't count. */
    requestsCutOff = 0;
    /** Called for each attempt that starts. */
    onStart: (taskId: string, worker: string) => void = () => {};
    /** Called each time a task succeeds. */
    onCompletion: (taskId: string) => void = () => {};
    private readonly running = new Map<string, string>();
    private readonly startedAttempts = new Set<string>();

    /** Records that an attempt started. */
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
            this.addViolation(`Task ${taskId} started on ${worker} after it had succeeded.`);
        }
        this.startedAttempts.add(key);
        this.running.set(taskId, worker);
        this.starts++;
        this.resumes += attempt > 1 ? 1 : 0;
        this.onStart(taskId, worker);
    }

    /** Records that an attempt no longer runs. */
    recordEnd(worker: string, taskId: string): void {
        if (this.running.get(taskId) === worker) {
            this.running.delete(taskId);
        }
    }

    /** Records that a task succeeded. */
    recordCompletion(taskId: string): void {
        const times = (this.completions.get(taskId) ?? 0) + 1;
        this.completions.set(taskId, times);
        if (times > 1) {
            this.addViolation(`Task ${taskId} succeeded ${times} times.`);
        }
        this.onCompletion(taskId);
    }

    /** Checks the declared resources of a worker's running tasks against the worker's capacity. */
    recordCommitment(worker: string, committed: Resources, capacity: Resources): void {
        for (const key of ["cpuMillis", "memoryMb", "accelerators", "slots"] as const) {
            if (committed[key] > capacity[key]) {
                this.addViolation(
                    `Worker ${worker} has ${committed[key]} ${key} committed; its capacity is ${capacity[key]}.`,
                );
            }
        }
    }

    /** Checks the number of open requests of a worker against its limit of connections. */
    recordConnections(worker: string, open: number, limit: number): void {
        if (open > limit) {
            this.addViolation(`Worker ${worker} had ${open} open requests; its limit is ${limit}.`);
        }
    }

    /** Records that a replica runs a request. */
    recordRequest(requestId: string, idempotent: boolean): void {
        const times = (this.requestRuns.get(requestId) ?? 0) + 1;
        this.requestRuns.set(requestId, times);
        if (!idempotent && times > 1) {
            this.addViolation(`Non-idempotent request ${requestId} ran ${times} times.`);
        }
    }

    /** Returns the worker on which a task is running. */
    getRunningWorker(taskId: string): string | undefined {
        return this.running.get(taskId);
    }

    /** Adds a violated guarantee. */
    addViolation(sentence: string): void {
        this.violations.push(sentence);
    }
}
