/** One step of a job: a number of identical tasks. */
export interface StepSpec {
    readonly taskCount: number;
    /** CPU that one task needs, in thousandths of a core. */
    readonly cpuMillis: number;
    /** Memory that one task needs, in megabytes. */
    readonly memoryMb: number;
    /** Number of whole accelerators that one task needs. */
    readonly accelerators: number;
    /** The submitter's rough estimate of one task's duration, in milliseconds; 0 for no estimate. */
    readonly estimateMs: number;
    /** Numbers of the earlier steps that must be done before this step starts. */
    readonly dependsOn: readonly number[];
    /** Whether a task saves checkpoints, so that its next run resumes from the last one. */
    readonly savesProgress: boolean;
    /** Whether the tasks can work only while all of them run at the same time (gang scheduling). */
    readonly gang: boolean;
    /** Whether the tasks run faster when they share a rack. */
    readonly sameRack: boolean;
    /** Label that a worker must have to run the tasks; empty for any worker. */
    readonly requiredLabel: string;
    /** Rack that holds the tasks' data; empty for no preference. */
    readonly preferredRack: string;
    /** Maximum number of tasks of this step, in one occurrence, on one worker; 0 for no limit. */
    readonly maxTasksPerWorker: number;
    /** Whether copies of a task may run in parallel. */
    readonly speculative: boolean;
    /** Whether the tasks run until the job is cancelled. */
    readonly longRunning: boolean;
    /** Program that the tasks run. Measurements of one task apply to all tasks with the same image. */
    readonly image: string;
    /** Upper bound of a serving task's tail latency, in milliseconds; 0 for a task that isn't a serving task. */
    readonly tailLatencyTargetMs: number;
    /** Whether the tasks are best-effort tasks, which use only CPU that other tasks leave unused. */
    readonly isBestEffort: boolean;
    /** Maximum number of tasks of a long-running step that the scheduler itself may stop at the same time. */
    readonly maxUnavailable: number;
}
