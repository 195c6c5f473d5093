import type { WorkerReport } from "@sardinestage/call-platform";
import { InterferenceEstimator, SizeEstimator, WorkerHealth } from "@sardinestage/learn-behaviour";
import type { Resources, TaskSpec } from "@sardinestage/types";
import { WorkKind } from "@sardinestage/types";

/** Assumed of a pair that was never seen together. */
const PRIOR_HARM = 0.1;

/** What was learned of tasks and workers from what ran. */
export class Behaviour {
    /** Which workers fail what others can do. */
    readonly health = new WorkerHealth();
    private readonly sizes: SizeEstimator;
    private readonly interference = new InterferenceEstimator(PRIOR_HARM);
    private readonly lastSlowdowns = new Map<string, number>();

    constructor(sizeQuantile: number) {
        this.sizes = new SizeEstimator(sizeQuantile);
    }

    /** Takes a worker's report; use and latency in it were measured together. */
    learnReport(worker: string, report: WorkerReport): void {
        const specs = new Map(report.tasks.map(task => [task.taskId, task.spec]));
        const measured = report.usage.filter(usage => specs.has(usage.taskId));
        let worst = 0;
        for (const usage of measured) {
            const spec = specs.get(usage.taskId);
            if (spec === undefined) {
                continue;
            }
            this.sizes.learnUsage(spec.taskClass, usage);
            if (spec.kind === WorkKind.LatencyCritical && usage.latencyMs !== undefined) {
                const neighbours = measured.filter(other => other !== usage)
                    .map(other => specs.get(other.taskId)?.taskClass ?? "");
                this.interference.learnLatency(spec.taskClass, neighbours, usage.latencyMs);
                worst = Math.max(worst, this.interference.computeSlowdown(spec.taskClass, usage.latencyMs));
            }
        }
        if (worst > 0) {
            this.lastSlowdowns.set(worker, worst);
        }
        else {
            this.lastSlowdowns.delete(worker);
        }
    }

    /** The worst slow-down of a service on a worker in its newest report, as a ratio; 1 when none is known. */
    getSlowdown(worker: string): number {
        return this.lastSlowdowns.get(worker) ?? 1;
    }

    /** What a task is expected to take. */
    estimateSize(spec: TaskSpec): Resources {
        return this.sizes.estimateSize(spec);
    }

    /** Expected extra time of `victim` next to `other`, as a share; known for services only. */
    estimateHarm(victim: TaskSpec, other: TaskSpec): number {
        return victim.kind === WorkKind.LatencyCritical
            ? this.interference.estimateInterference(victim.taskClass, other.taskClass)
            : 0;
    }

    /** How often a pair was seen together. */
    getObservations(victim: TaskSpec, other: TaskSpec): number {
        return this.interference.getObservationCount(victim.taskClass, other.taskClass);
    }

    /** Forgets workers that are gone. */
    dropWorker(worker: string): void {
        this.lastSlowdowns.delete(worker);
    }
}
