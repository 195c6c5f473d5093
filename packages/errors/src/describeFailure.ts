/**
 * Formats a thrown value as text for a log line.
 *
 * @param failure The thrown value.
 * @returns The message of an `Error`, or any other value as text.
 */
export function describeFailure(failure: unknown): string {
    return failure instanceof Error ? failure.message : String(failure);
}
