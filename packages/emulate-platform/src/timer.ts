/** Something that is to happen. */
export interface Timer {
    readonly atMs: number;
    /** Of two at the same time, the lower happens first. */
    readonly order: number;
    readonly run: () => void;
}
