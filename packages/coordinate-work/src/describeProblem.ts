/** Describes an unexpected error for the log, with the place where it was thrown. */
export function describeProblem(failure: unknown): string {
    return failure instanceof Error ? failure.stack ?? failure.message : String(failure);
}
