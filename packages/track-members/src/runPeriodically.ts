/**
 * Runs a job again and again, with a pause after each run; runs never overlap.
 *
 * @param pauseMs Pause between the end of a run and the start of the next, in milliseconds.
 * @param job What to run; a failure is handed to `handleFailure`, and the runs go on.
 * @returns Ends the runs; resolves when the run under way has ended.
 */
export function runPeriodically(
    pauseMs: number,
    job: () => Promise<void> | void,
    handleFailure: (failure: unknown) => void,
): () => Promise<void> {
    const stopped = new AbortController();
    const loop = async () => {
        while (!stopped.signal.aborted) {
            try {
                await job();
            }
            catch (failure) {
                handleFailure(failure);
            }
            await waitUnlessStopped(pauseMs, stopped.signal);
        }
    };
    const ended = loop();
    return () => {
        stopped.abort();
        return ended;
    };
}

function waitUnlessStopped(pauseMs: number, signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        if (signal.aborted) {
            resolve();
            return;
        }
        const timer = setTimeout(finish, pauseMs);
        signal.addEventListener("abort", finish, { once: true });
        function finish() {
            clearTimeout(timer);
            signal.removeEventListener("abort", finish);
            resolve();
        }
    });
}
