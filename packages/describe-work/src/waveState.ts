/** State of an upkeep wave, as reported to the operator. */
export enum WaveState {
    Running = "running",
    Completed = "completed",
}
