const POLL_MS = 20;

/**
 * Waits until something holds.
 *
 * @param what Named in the error.
 * @param check Asked again and again.
 * @param limitMs After that, waiting fails.
 * @returns How long it took, in milliseconds.
 */
export async function waitUntil(
    what: string,
    check: () => Promise<boolean> | boolean,
    limitMs: number,
): Promise<number> {
    const startedAtMs = performance.now();
    while (!await check()) {
        if (performance.now() - startedAtMs > limitMs) {
            throw new Error(`It took more than ${limitMs} ms until ${what}.`);
        }
        await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
    return performance.now() - startedAtMs;
}
