/**
 * Runs an action after a time, unless it is cancelled. What had come in unread by then, because this process was late,
 * is handled first: an answer among it may cancel the action.
 *
 * @param timeoutMs In milliseconds.
 * @returns Cancels the action.
 */
export function scheduleTimeout(action: () => void, timeoutMs: number): () => void {
    let immediate: NodeJS.Immediate | undefined;
    const timer = setTimeout(() => {
        immediate = setImmediate(action);
    }, timeoutMs);
    return () => {
        clearTimeout(timer);
        clearImmediate(immediate);
    };
}
