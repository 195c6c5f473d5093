import type { CapacityLedger } from "./capacityLedger.js";
import { isAllowedOn } from "./isAllowedOn.js";
import { isInterrupted } from "./isInterrupted.js";
import { isOverdueFirstStart } from "./isOverdueFirstStart.js";
import type { StepDemand } from "./stepDemand.js";
import type { WorkerCapacity } from "./workerCapacity.js";

/** Share of the workers allowed for a demand that may have reservations, so that small tasks keep the others. */
const RESERVABLE_SHARE = 1 / 16;
/** So many workers may have reservations in any case, so that several tasks start in time in a small service. */
const MIN_RESERVABLE_WORKERS = 2;
/** The largest share of a small service's workers that may have reservations. */
const MAX_RESERVABLE_SHARE = 1 / 2;
/**
 * A run-to-completion task of this share of the largest worker is large. Smaller tasks find room as others of their size
 * end.
 */
const LARGE_SHARE = 1 / 4;
/** A job whose result is of no more use waits so long before capacity is reserved for it, in milliseconds. */
const USELESS_WAIT_MS = 10_000;

/**
 * Counts the workers that may still be reserved for a demand whose tasks don't fit now: any number for interrupted
 * long-running tasks; within a share of the workers also some for overdue first starts of long-running tasks, for gangs
 * and for large run-to-completion tasks.
 *
 * @returns Undefined if nothing is reserved for such a demand.
 */
export function countReservable(demand: StepDemand, ledger: CapacityLedger): number | undefined {
    const { spec } = demand.step;
    if (isInterrupted(demand)) {
        return Infinity;
    }
    const isUseful = demand.lateSlackMs >= 0 || demand.waitedMs >= USELESS_WAIT_MS;
    if (spec.longRunning ? !isOverdueFirstStart(demand) : spec.isBestEffort || !isUseful) {
        return undefined;
    }
    const allowed = ledger.workers.filter(worker => isAllowedOn(demand.step, worker));
    const largestCpuMillis = allowed.reduce((largest, worker) => Math.max(largest, worker.capacityCpuMillis), 0);
    if (!spec.longRunning && !spec.gang && spec.cpuMillis < largestCpuMillis * LARGE_SHARE) {
        return undefined;
    }
    const most = Math.max(1, Math.floor(allowed.length * MAX_RESERVABLE_SHARE));
    const reservable = Math.max(MIN_RESERVABLE_WORKERS, Math.ceil(allowed.length * RESERVABLE_SHARE));
    const left = Math.min(most, reservable) - allowed.filter(hasReservation).length;
    // A gang starts as a whole or not at all, so one gang may take more.
    return spec.gang && left > 0 ? most : Math.max(0, left);
}

function hasReservation(worker: WorkerCapacity): boolean {
    return (worker.ahead?.reservations.length ?? 0) > 0;
}
