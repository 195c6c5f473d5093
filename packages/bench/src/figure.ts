/** One measured figure of a scenario. */
export interface Figure {
    readonly name: string;
    readonly unit: string;
    readonly value: number;
    /** What the baseline came to in the same run. */
    readonly baseline?: number;
    /** The stated target in words; absent for a figure without one. */
    readonly target?: string;
    /** Whether the target is met; `true` without a target. */
    readonly ok: boolean;
}
