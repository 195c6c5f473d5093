import { formatTaskKey } from "@sardinestage/describe-work";
import type { EventLogger } from "@sardinestage/log-events";
import type { StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import { isAllowedOn, isInterrupted } from "@sardinestage/plan-starts";

/** Least time between two log lines, in milliseconds: rounds run many times a second. */
const REPORT_INTERVAL_MS = 1000;

/** Logs how many workers have enough processor or memory for interrupted long-running tasks that still wait. */
export class WaitReporter {
    private reportedAtMs = -Infinity;

    constructor(private readonly logger: EventLogger) {}

    /**
     * Logs a summary of the interrupted demands among the unmet ones, at most once a second.
     *
     * @param unmet The demands that found no capacity.
     * @param capacities The free capacity of the workers after the round.
     * @param nowMs Steady milliseconds.
     */
    reportUnmet(unmet: readonly StepDemand[], capacities: readonly WorkerCapacity[], nowMs: number): void {
        const waiting = unmet.filter(isInterrupted);
        if (waiting.length === 0 || nowMs - this.reportedAtMs < REPORT_INTERVAL_MS) {
            return;
        }
        this.reportedAtMs = nowMs;
        const [first] = waiting;
        const { cpuMillis, memoryMb } = first.step.spec;
        const allowed = capacities.filter(capacity => isAllowedOn(first.step, capacity));
        this.logger.warn("long-running-waits", {
            steps: waiting.length,
            tasks: waiting.reduce((sum, demand) => sum + demand.waiting.length, 0),
            first: formatTaskKey(first.waiting[0].ref),
            cpuMillis,
            memoryMb,
            workers: capacities.length,
            allowed: allowed.length,
            withProcessor: allowed.filter(capacity => capacity.freeCpuMillis >= cpuMillis).length,
            withMemory: allowed.filter(capacity => capacity.freeMemoryMb >= memoryMb).length,
            mostCpuMillis: Math.max(0, ...allowed.map(capacity => capacity.freeCpuMillis)),
        });
    }
}
