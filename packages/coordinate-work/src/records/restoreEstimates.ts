import type { CoordinatorParts } from "../coordinatorParts.js";
import type { LearnedEstimates } from "./learnedEstimates.js";

/**
 * Restores the estimates of an earlier coordinator. An unreadable record is logged and ignored: a takeover works
 * without.
 */
export function restoreEstimates(
    { metrics, logger }: Pick<CoordinatorParts, "metrics" | "logger">,
    estimates: LearnedEstimates,
    record: Uint8Array | undefined,
): void {
    if (record === undefined) {
        return;
    }
    try {
        estimates.restoreState(record);
    }
    catch (failure) {
        metrics.count("records_unreadable_total", "learned");
        logger.warn("learned-unreadable", { bytes: record.length, problem: String(failure) });
    }
}
