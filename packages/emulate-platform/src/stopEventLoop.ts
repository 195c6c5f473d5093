/** Blocks the event loop for a time in milliseconds, as long synchronous work does. */
export function stopEventLoop(lengthMs: number): void {
    const untilMs = performance.now() + lengthMs;
    while (performance.now() < untilMs) {
        // Busy-wait: nothing else runs meanwhile.
    }
}
