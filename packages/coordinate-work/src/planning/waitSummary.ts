import type { Metrics } from "@sardinestage/count-metrics";
import type { EventLogger } from "@sardinestage/log-events";
import type { StartRules, StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import { explainWait, WaitReason } from "@sardinestage/plan-starts";

/** Least time between two log lines, in milliseconds: rounds run many times a second. */
const REPORT_INTERVAL_MS = 1000;
/** Steps that are explained for one line; each is compared with every worker. */
const MAX_STEPS = 24;

/** Dependencies of a wait summary. */
interface WaitSummaryParts {
    readonly logger: EventLogger;
    readonly metrics: Metrics;
}

/** Logs and counts, at most once a second, why waiting tasks found no worker and what stood free meanwhile. */
export class WaitSummary {
    private reportedAtMs = -Infinity;

    constructor(private readonly parts: WaitSummaryParts) {}

    /**
     * Explains the unmet demands of a round.
     *
     * @param unmet The demands that found no capacity, the most urgent first.
     * @param unreachedCount Number of demands that the round's limits left out.
     * @param capacities The free capacity of the workers after the round.
     * @param rules The round's rules.
     * @param nowMs Steady milliseconds.
     * @param listEvacuated Lists the free capacity of workers that get no start only because their failure domain is
     *   evacuated.
     */
    reportUnmet(
        unmet: readonly StepDemand[],
        unreachedCount: number,
        capacities: readonly WorkerCapacity[],
        rules: StartRules,
        nowMs: number,
        listEvacuated: () => readonly WorkerCapacity[],
    ): void {
        if (unmet.length === 0 || nowMs - this.reportedAtMs < REPORT_INTERVAL_MS) {
            return;
        }
        this.reportedAtMs = nowMs;
        const evacuated = listEvacuated();
        const tasksByReason: Record<string, number> = {};
        for (const demand of unmet.slice(0, MAX_STEPS)) {
            const name = `for${WaitReason[explainWait(demand, capacities, rules, evacuated)]}`;
            tasksByReason[name] = (tasksByReason[name] ?? 0) + demand.step.waitingCount;
            this.parts.metrics.count("waiting_tasks_total", name, demand.step.waitingCount);
        }
        this.parts.logger.info("tasks-wait", {
            steps: unmet.length,
            unreachedSteps: unreachedCount,
            ...tasksByReason,
            bestEffortSteps: unmet.filter(demand => demand.step.spec.isBestEffort).length,
            freeCpuMillis: capacities.reduce((sum, capacity) => sum + capacity.freeCpuMillis, 0),
        });
    }
}
