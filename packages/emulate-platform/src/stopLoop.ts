/** Keeps the event loop from turning, as work that takes long does; the time is in milliseconds. */
export function stopLoop(lengthMs: number): void {
    const untilMs = performance.now() + lengthMs;
    while (performance.now() < untilMs) {
        // Nothing else may happen.
    }
}
