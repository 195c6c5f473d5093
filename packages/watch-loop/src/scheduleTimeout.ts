/** A timer that fires later than this shows that the loop stood still, in milliseconds: far beyond what timers are late by themselves. */
const LATE_MS = 20;

/**
 * Runs an action after a time, unless it is cancelled. What had come in unread by then, because this process was late,
 * is handled first: an answer among it may cancel the action. The time that the loop is seen to have stood still is added
 * once: the answer may have needed a turn of the loop before it could be asked for.
 *
 * @param timeoutMs In milliseconds.
 * @returns Cancels the action.
 */
export function scheduleTimeout(action: () => void, timeoutMs: number): () => void {
    let immediate: NodeJS.Immediate | undefined;
    const runSoon = () => {
        immediate = setImmediate(action);
    };
    const dueAtMs = performance.now() + timeoutMs;
    let timer = setTimeout(() => {
        const lateMs = performance.now() - dueAtMs;
        if (lateMs < LATE_MS) {
            runSoon();
            return;
        }
        timer = setTimeout(runSoon, Math.min(lateMs, timeoutMs));
    }, timeoutMs);
    return () => {
        clearTimeout(timer);
        clearImmediate(immediate);
    };
}
