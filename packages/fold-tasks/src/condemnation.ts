/** A condemnation in force: an announcement that a silent worker's tasks will be released. */
export interface Condemnation {
    readonly condemnId: string;
    /** The lease holder name of the scheduler that announced it. */
    readonly by: string;
}
