import type { TrackedWorker } from "./trackedWorker.js";

/** Describes when a worker's lease ends, what that follows from, and when the worker last answered in this term. */
export function describeLease(worker: TrackedWorker, nowMs: number) {
    const { atMs, source } = worker.findLeaseEnd();
    return {
        leaseLeftMs: Math.round(atMs - nowMs),
        leaseSource: source,
        answeredMsAgo: worker.answeredAtMs > 0 ? Math.round(nowMs - worker.answeredAtMs) : undefined,
        fence: worker.life.fence,
    };
}
