/** What the operator is told of a wave. */
export enum WaveState {
    Running = "running",
    Completed = "completed",
}
