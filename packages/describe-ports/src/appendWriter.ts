/** Makes an append safe to repeat, and fences writers of earlier epochs. */
export interface AppendWriter {
    readonly name: string;
    readonly epoch: number;
    readonly sequence: number;
}
