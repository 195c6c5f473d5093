/** One measured value of a scenario. */
export interface Figure {
    readonly name: string;
    readonly unit: string;
    readonly value: number;
    /** The value that the baseline reached in the same run. */
    readonly baseline?: number;
    /** The target as text; absent if there is none. */
    readonly target?: string;
    /** Whether the target is met; `true` if there is none. */
    readonly ok: boolean;
}
