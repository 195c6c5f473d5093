const POLL_MS = 20;

/**
 * Polls until a condition holds; throws if it doesn't in time.
 *
 * @param condition Description of the condition, for the error message.
 * @param check Whether the condition holds now; called every 20 ms.
 * @param timeoutMs Time in milliseconds after which waiting fails.
 * @returns The time waited, in milliseconds.
 */
export async function waitUntil(
    condition: string,
    check: () => Promise<boolean> | boolean,
    timeoutMs: number,
): Promise<number> {
    const startedAtMs = performance.now();
    while (!await check()) {
        if (performance.now() - startedAtMs > timeoutMs) {
            throw new Error(`Timed out after ${timeoutMs} ms waiting until ${condition}.`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    return performance.now() - startedAtMs;
}
