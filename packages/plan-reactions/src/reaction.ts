/** A step for a batch task, against interference or for a preemption. */
export interface Reaction {
    readonly taskId: string;
    /** Share of the task's processors to take away; 1 evicts the task. */
    readonly throttle: number;
    readonly reason: string;
}
