/**
 * Waits for a promise, but not longer than a limit.
 *
 * @param limitMs The limit in milliseconds.
 * @returns Whether the promise was resolved in time.
 */
export async function waitAtMost(awaited: Promise<unknown>, limitMs: number): Promise<boolean> {
    let timer: NodeJS.Timeout | undefined;
    const limit = new Promise<boolean>(resolve => {
        timer = setTimeout(() => resolve(false), limitMs);
    });
    const inTime = await Promise.race([awaited.then(() => true), limit]);
    clearTimeout(timer);
    return inTime;
}
