/** The waiting tasks of a step. */
export interface ShareDemand {
    /** What all of the tasks request together, in thousandths of a core. */
    readonly cpuMillis: number;
    /** Whether the job is so late that its result is no longer useful. */
    readonly isUseless: boolean;
}
