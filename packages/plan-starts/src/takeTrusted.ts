import type { Task } from "@sardinestage/track-jobs";
import type { CapacityLedger } from "./capacityLedger.js";
import type { EligibleWorkers } from "./eligibleWorkers.js";
import { HELD_BACK } from "./heldBack.js";
import type { RankedWorker } from "./rankedWorker.js";
import type { StartRules } from "./startRules.js";
import { WorkerTrust } from "./workerTrust.js";

/** What a task needs of a worker. */
interface TrustNeed {
    readonly requiredTrust: WorkerTrust;
    /**
     * Whether the task waits for a worker that is proven by a run started after the task's failed one. Faults begin on
     * several workers at once, and older runs don't show them.
     */
    readonly canWaitForProof: boolean;
}

/**
 * Removes a trusted worker for a task, other than the one on which it last failed: the one with the newest proof if it
 * has to be proven, else the best.
 *
 * @returns The worker's index; `HELD_BACK` if only other workers have room, undefined if none has.
 */
export function takeTrusted(
    task: Task,
    { requiredTrust, canWaitForProof }: TrustNeed,
    ledger: CapacityLedger,
    eligible: EligibleWorkers,
    rules: StartRules,
): number | undefined {
    const getWorkerId = ({ index }: RankedWorker) => ledger.workers[index].workerId;
    const getProvenAt = (entry: RankedWorker) => rules.getProvenAt?.(getWorkerId(entry)) ?? -Infinity;
    const needsProof = requiredTrust === WorkerTrust.Proven;
    const minProvenAtMs = needsProof && canWaitForProof ? task.orderedAtMs : -Infinity;
    const isTrusted = (entry: RankedWorker) =>
        getWorkerId(entry) !== task.lastFailedWorkerId && getProvenAt(entry) >= minProvenAtMs
        && (rules.estimateTrust?.(getWorkerId(entry)) ?? requiredTrust) >= requiredTrust;
    const others: RankedWorker[] = [];
    let chosen: RankedWorker | undefined;
    let entry = eligible.removeBest();
    while (entry !== undefined) {
        if (isTrusted(entry) && (chosen === undefined || getProvenAt(entry) > getProvenAt(chosen))) {
            others.push(...chosen === undefined ? [] : [chosen]);
            chosen = entry;
        }
        else {
            others.push(entry);
        }
        const isDecided = chosen !== undefined && !needsProof;
        entry = isDecided ? undefined : eligible.removeBest();
    }
    others.forEach(other => eligible.restore(other));
    return chosen?.index ?? (others.length > 0 ? HELD_BACK : undefined);
}
