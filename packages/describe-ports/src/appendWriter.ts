/**
 * Identifies an append, so that a repeated append is written only once (same `sequence`) and a writer with an older
 * epoch is rejected.
 */
export interface AppendWriter {
    readonly name: string;
    readonly epoch: number;
    readonly sequence: number;
}
