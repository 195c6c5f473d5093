import type { CopyCandidate } from "./copyCandidate.js";
import type { CopyPlan } from "./copyPlan.js";
import type { QueueUse } from "./queueUse.js";

/** Copies use at most this share of the processor that the queue's running tasks hold. */
const MAX_EXTRA_SHARE = 0.1;
/** The present run has to be expected to go on for this many times as long as a new one takes, since both are uncertain. */
const MIN_GAIN = 1.3;
/** Time until a copy starts, in milliseconds: its record has to be written and its order to be sent. */
const START_MS = 50;

/**
 * Chooses the running tasks that get a copy, those that gain most first.
 *
 * @param candidates Running tasks without a copy.
 * @param queueUse What the queues use now, by name.
 * @param takeWorker Takes a worker's room for the copy of a task; undefined if no suitable worker has room.
 */
export function planCopies<T>(
    candidates: readonly CopyCandidate<T>[],
    queueUse: ReadonlyMap<string, QueueUse>,
    takeWorker: (item: T) => string | undefined,
): CopyPlan<T> {
    const copies: { item: T; workerId: string }[] = [];
    const addedCpuMillis = new Map<string, number>();
    const worthwhile = candidates.filter(({ remainingMs, newRunMs }) => remainingMs > newRunMs * MIN_GAIN + START_MS)
        .sort((left, right) => computeGain(right) - computeGain(left));
    let refused = 0;
    for (const { item, queue, cpuMillis } of worthwhile) {
        const { ownCpuMillis, copyCpuMillis } = queueUse.get(queue) ?? { ownCpuMillis: 0, copyCpuMillis: 0 };
        const extraCpuMillis = copyCpuMillis + (addedCpuMillis.get(queue) ?? 0) + cpuMillis;
        if (extraCpuMillis > ownCpuMillis * MAX_EXTRA_SHARE) {
            refused++;
            continue;
        }
        const workerId = takeWorker(item);
        if (workerId !== undefined) {
            copies.push({ item, workerId });
            addedCpuMillis.set(queue, extraCpuMillis - copyCpuMillis);
        }
    }
    return { copies, refused };
}

function computeGain({ remainingMs, newRunMs }: CopyCandidate<unknown>): number {
    return remainingMs - newRunMs;
}
