/** An announcement that a worker's tasks will be released. */
export interface Condemnation {
    readonly condemnId: string;
    readonly by: string;
}
