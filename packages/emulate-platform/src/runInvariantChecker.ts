import type { TaskRef } from "@sardinestage/describe-work";
import { formatTaskKey } from "@sardinestage/describe-work";

/** How long after an acknowledged end as done a run of a speculative step may still start, in milliseconds. */
const SPECULATIVE_START_MS = 1000;

/**
 * Is notified by the emulated workers of every run's start and end, and records violations of invariants: two
 * concurrent runs of a task, a start after a successful end of the task that was acknowledged then or is acknowledged
 * later, a start before a task that it depends on is done, more runs of a step on one worker than the step allows. A task
 * of a speculative step may have two runs at a time, and one may start until shortly after an end was acknowledged.
 */
export class RunInvariantChecker {
    readonly violations: string[] = [];
    readonly completedTasks = new Set<string>();
    /** When the end as done of each task was first acknowledged. */
    private readonly acknowledgedTasks = new Map<string, number>();
    /** How many runs of each task have failed. */
    readonly failureCounts = new Map<string, number>();
    /** Of how many of these a coordinator has acknowledged the end; only those before an acknowledged end as done. */
    readonly acknowledgedFailureCounts = new Map<string, number>();
    /** Tasks of which a start was carried out late. */
    private readonly lateTasks = new Set<string>();
    private readonly startCounts = new Map<string, number>();
    private readonly activeRunCounts = new Map<string, number>();
    /** The runs of each step that are in progress on each worker. */
    private readonly activeRunsThere = new Map<string, number>();

    /**
     * @param getNow Returns the test's time in milliseconds, for the violation messages.
     * @param listPrerequisites Returns the keys of the tasks that must be done before a task starts.
     * @param isSpeculative Whether the step of a task allows copies.
     * @param getMaxTasksPerWorker Returns how many tasks of a task's step may run on one worker; 0 without a limit.
     */
    constructor(
        private readonly getNow: () => number,
        private readonly listPrerequisites: (task: TaskRef) => readonly string[],
        private readonly isSpeculative: (task: TaskRef) => boolean = () => false,
        private readonly getMaxTasksPerWorker: (task: TaskRef) => number = () => 0,
    ) {}

    /** Records that a run starts, and checks the invariants. Violations say whether the task had a late start. */
    noteStart(task: TaskRef, worker: string, isLate: boolean): void {
        const key = formatTaskKey(task);
        if (isLate) {
            this.lateTasks.add(key);
        }
        const count = (this.activeRunCounts.get(key) ?? 0) + 1;
        this.activeRunCounts.set(key, count);
        this.startCounts.set(key, this.countStarts(task) + 1);
        const isSpeculative = this.isSpeculative(task);
        if (count > (isSpeculative ? 2 : 1)) {
            this.addViolation(`${key} runs twice, now on ${worker}`, key);
        }
        const acknowledgedAtMs = this.acknowledgedTasks.get(key) ?? Infinity;
        if (this.getNow() >= acknowledgedAtMs + (isSpeculative ? SPECULATIVE_START_MS : 0)) {
            this.addViolation(`${key} starts on ${worker} after it was done`, key);
        }
        for (const prerequisite of this.listPrerequisites(task)) {
            if (!this.completedTasks.has(prerequisite)) {
                this.addViolation(`${key} starts before ${prerequisite} is done`, key);
            }
        }
        this.checkStepLimit(task, worker);
    }

    /** Records that a run ends on a worker. */
    noteEnd(task: TaskRef, worker: string, isDone: boolean, hasFailed = false): void {
        const key = formatTaskKey(task);
        const stepKey = formatStepKey(task, worker);
        this.activeRunCounts.set(key, (this.activeRunCounts.get(key) ?? 1) - 1);
        this.activeRunsThere.set(stepKey, (this.activeRunsThere.get(stepKey) ?? 1) - 1);
        if (hasFailed) {
            this.failureCounts.set(key, (this.failureCounts.get(key) ?? 0) + 1);
        }
        if (isDone) {
            this.completedTasks.add(key);
        }
    }

    /**
     * Records that a coordinator acknowledged a task's successful end.
     *
     * @param startCount The starts of the task up to that end, as `countStarts` told; undefined if the worker's lease has
     *   lapsed since, so that starts in between were allowed.
     */
    noteAcknowledged(task: TaskRef, startCount: number | undefined): void {
        const key = formatTaskKey(task);
        if (
            !this.isSpeculative(task) && startCount !== undefined && !this.acknowledgedTasks.has(key)
            && this.countStarts(task) > startCount
        ) {
            this.addViolation(`${key} was started after an end as done that is acknowledged now`, key);
        }
        this.acknowledgedTasks.set(key, Math.min(this.getNow(), this.acknowledgedTasks.get(key) ?? Infinity));
    }

    /** Whether a coordinator has acknowledged an end as done of a task, so that runs that fail from then on don't matter. */
    isDoneAcknowledged(task: TaskRef): boolean {
        return this.acknowledgedTasks.has(formatTaskKey(task));
    }

    /** Records that a coordinator acknowledged the end of a run that failed before any end as done was acknowledged. */
    noteFailureAcknowledged(task: TaskRef): void {
        const key = formatTaskKey(task);
        this.acknowledgedFailureCounts.set(key, (this.acknowledgedFailureCounts.get(key) ?? 0) + 1);
    }

    /** Returns how many runs of a task have started so far. */
    countStarts(task: TaskRef): number {
        return this.startCounts.get(formatTaskKey(task)) ?? 0;
    }

    /** Whether a run of a task is in progress. */
    isRunning(task: TaskRef): boolean {
        return (this.activeRunCounts.get(formatTaskKey(task)) ?? 0) > 0;
    }

    /** Returns the number of runs in progress. */
    countActiveRuns(): number {
        return [...this.activeRunCounts.values()].reduce((sum, count) => sum + count, 0);
    }

    /** Counts a run that starts on a worker. Runs that are being stopped count until they have ended. */
    private checkStepLimit(task: TaskRef, worker: string): void {
        const stepKey = formatStepKey(task, worker);
        const count = (this.activeRunsThere.get(stepKey) ?? 0) + 1;
        this.activeRunsThere.set(stepKey, count);
        const limit = this.getMaxTasksPerWorker(task);
        if (limit > 0 && count > limit) {
            const key = formatTaskKey(task);
            this.addViolation(`${key} starts on ${worker}, which then has ${count} of ${limit} tasks of the step`, key);
        }
    }

    private addViolation(violation: string, key: string): void {
        const remark = this.lateTasks.has(key) ? ", and had a late start" : "";
        this.violations.push(`${Math.round(this.getNow())} ms: ${violation}${remark}`);
    }
}

function formatStepKey({ jobId, occurrence, step }: TaskRef, worker: string): string {
    return `${jobId}/${occurrence}/${step}@${worker}`;
}
