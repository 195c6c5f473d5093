import type { CoordinatorParts } from "./coordinatorParts.js";
import type { Learned } from "./learned.js";

/**
 * Restores the estimates of an earlier coordinator. An unreadable record is logged and ignored: a takeover works
 * without.
 */
export function restoreLearned(
    { metrics, logger }: Pick<CoordinatorParts, "metrics" | "logger">,
    learned: Learned,
    record: Uint8Array | undefined,
): void {
    if (record === undefined) {
        return;
    }
    try {
        learned.restoreState(record);
    }
    catch (failure) {
        metrics.count("records_unreadable_total", "learned");
        logger.warn("learned-unreadable", { bytes: record.length, problem: String(failure) });
    }
}
