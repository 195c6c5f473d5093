/** The expected interference between a task and the tasks already on a worker. */
export interface PlacementView {
    /** Highest expected tail latency of a serving task with the task placed there, as a share of its target. */
    readonly latencyRatio: number;
    /** Whether tasks of its image are known to take much headroom from serving tasks. */
    readonly isInterfering: boolean;
    /** Share of the worker's serving tasks with the same known sensitivity to interference; 1 where none runs. */
    readonly similarSensitivityShare: number;
}
