/** The copies to start, and how many were refused because of the bound on extra work. */
export interface CopyPlan<T> {
    readonly copies: readonly { readonly item: T; readonly workerId: string }[];
    readonly refused: number;
}
