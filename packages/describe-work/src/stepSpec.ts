/** One step of a job: a number of equal tasks. */
export interface StepSpec {
    readonly taskCount: number;
    /** Processor of one task, in thousandths of a core. */
    readonly cpuMillis: number;
    /** Memory of one task, in megabytes. */
    readonly memoryMb: number;
    /** Whole accelerators of one task. */
    readonly accelerators: number;
    /** The submitter's rough guess of one task's duration, in milliseconds; 0 if none was given. */
    readonly estimateMs: number;
    /** Numbers of earlier steps that must be done before this one starts. */
    readonly dependsOn: readonly number[];
    /** Whether a task checkpoints, so that a later run resumes from its checkpoint. */
    readonly savesProgress: boolean;
    /** Whether the tasks work only while all of them are present. */
    readonly gang: boolean;
    /** Whether the tasks run faster when they share a rack. */
    readonly sameRack: boolean;
    /** A label that the worker must have; empty for any worker. */
    readonly requiredLabel: string;
    /** The rack that holds the data; empty for none. */
    readonly preferredRack: string;
    /** At most so many tasks of the step (of one occurrence) run on one worker; 0 for no limit. */
    readonly maxTasksPerWorker: number;
    /** Whether copies of a task may run in parallel. */
    readonly speculative: boolean;
    /** Whether the tasks run until the job is cancelled. */
    readonly longRunning: boolean;
    /** What the tasks run; tasks of one image behave alike. */
    readonly image: string;
    /** The bound of a serving task's tail latency, in milliseconds; 0 for a task that serves nobody. */
    readonly tailTargetMs: number;
    /** Whether the tasks take only the processor that others leave unused. */
    readonly fillsLeftover: boolean;
    /** How many tasks of a long-running step the system itself may take away at once. */
    readonly mayMiss: number;
}
