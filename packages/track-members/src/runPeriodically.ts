/**
 * Runs a job repeatedly with a pause after each run. Runs never overlap.
 *
 * @param pauseMs Pause between the end of a run and the start of the next, in milliseconds.
 * @param job The job. An error that it throws is passed to `handleFailure`, and the next run follows as usual.
 * @returns A function that stops the job; its promise resolves when the run in progress has ended.
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
