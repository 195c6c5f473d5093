/**
 * Turns anything that was thrown into one line for a log.
 *
 * @param failure What was thrown.
 * @returns The message, or the value as text.
 */
export function describeFailure(failure: unknown): string {
    return failure instanceof Error ? failure.message : String(failure);
}
