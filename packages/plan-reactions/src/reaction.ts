/** A step against interference: a share of a task's processors to take away, where 1 evicts it. */
export interface Reaction {
    readonly taskId: string;
    readonly throttle: number;
    readonly reason: string;
}
