/** Timer delay from which the event loop counts as stalled, in milliseconds; far above the usual delay of timers. */
const MIN_STALL_MS = 20;

/**
 * Runs an action after a timeout, unless it is cancelled first. Input that arrived but was not read before the timeout,
 * because this process was delayed, is handled before the action: an answer in this input may cancel the action. If
 * the event loop was stalled, the timeout is extended once by the length of the stall, at most by the timeout itself,
 * because the request for the answer may need another turn of the loop before it is sent.
 *
 * @param action Run once at the timeout.
 * @param timeoutMs The timeout, in milliseconds.
 * @returns A function that cancels the action.
 */
export function scheduleTimeout(action: () => void, timeoutMs: number): () => void {
    let immediate: NodeJS.Immediate | undefined;
    const runAfterInput = () => {
        immediate = setImmediate(action);
    };
    const dueAtMs = performance.now() + timeoutMs;
    let timer = setTimeout(() => {
        const lateMs = performance.now() - dueAtMs;
        if (lateMs < MIN_STALL_MS) {
            runAfterInput();
            return;
        }
        timer = setTimeout(runAfterInput, Math.min(lateMs, timeoutMs));
    }, timeoutMs);
    return () => {
        clearTimeout(timer);
        clearImmediate(immediate);
    };
}
