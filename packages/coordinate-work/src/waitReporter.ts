import { formatTaskKey } from "@sardinestage/describe-work";
import type { EventLogger } from "@sardinestage/log-events";
import type { StepDemand, WorkerRoom } from "@sardinestage/plan-starts";
import { isAllowedOn, isInterrupted } from "@sardinestage/plan-starts";

/** Time between two lines, in milliseconds: rounds come many times a second. */
const REPORT_INTERVAL_MS = 1000;

/** Logs why long-running tasks that were interrupted don't run again: for want of what, on how many workers. */
export class WaitReporter {
    private reportedAtMs = -Infinity;

    constructor(private readonly logger: EventLogger) {}

    /**
     * Tells of those among the demands that a round left.
     *
     * @param unmet What found no room.
     * @param rooms What the workers have left after the round.
     * @param nowMs Steady time.
     */
    reportUnmet(unmet: readonly StepDemand[], rooms: readonly WorkerRoom[], nowMs: number): void {
        const waiting = unmet.filter(isInterrupted);
        if (waiting.length === 0 || nowMs - this.reportedAtMs < REPORT_INTERVAL_MS) {
            return;
        }
        this.reportedAtMs = nowMs;
        const [first] = waiting;
        const { cpuMillis, memoryMb } = first.step.spec;
        const allowed = rooms.filter(room => isAllowedOn(first.step, room));
        this.logger.warn("long-running-waits", {
            steps: waiting.length,
            tasks: waiting.reduce((sum, demand) => sum + demand.waiting.length, 0),
            first: formatTaskKey(first.waiting[0].ref),
            cpuMillis,
            memoryMb,
            workers: rooms.length,
            allowed: allowed.length,
            withProcessor: allowed.filter(room => room.freeCpuMillis >= cpuMillis).length,
            withMemory: allowed.filter(room => room.freeMemoryMb >= memoryMb).length,
            mostCpuMillis: Math.max(0, ...allowed.map(room => room.freeCpuMillis)),
        });
    }
}
