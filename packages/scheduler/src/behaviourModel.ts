import type { WorkerReport } from "@sardinestage/call-platform";
import { InterferenceEstimator, SizeEstimator, WorkerHealth } from "@sardinestage/learn-behaviour";
import type { Resources, TaskSpec } from "@sardinestage/types";
import { WorkKind } from "@sardinestage/types";

/** Interference that is assumed for a pair of task classes never measured on one worker, as a share of run time. */
const PRIOR_INTERFERENCE = 0.1;

/** Estimates of task sizes, interference and worker health, learned from the reports of the workers. */
export class BehaviourModel {
    /** Finds the workers that fail tasks which succeed on other workers. */
    readonly health = new WorkerHealth();
    private readonly sizes: SizeEstimator;
    private readonly interference = new InterferenceEstimator(PRIOR_INTERFERENCE);
    private readonly lastSlowdowns = new Map<string, number>();

    constructor(sizeQuantile: number) {
        this.sizes = new SizeEstimator(sizeQuantile);
    }

    /** Learns from a worker's report, whose resource usage and latencies were measured over the same period. */
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

    /**
     * The largest slowdown of any service on a worker in its newest report: latency divided by the latency without
     * neighbours; 1 when none is known.
     */
    getSlowdown(worker: string): number {
        return this.lastSlowdowns.get(worker) ?? 1;
    }

    /** The resources that a task is expected to use. */
    estimateSize(spec: TaskSpec): Resources {
        return this.sizes.estimateSize(spec);
    }

    /**
     * Expected extra latency of `victim` beside `other`, as a share of its latency; 0 for a victim that is no service.
     */
    estimateInterference(victim: TaskSpec, other: TaskSpec): number {
        return victim.kind === WorkKind.LatencyCritical
            ? this.interference.estimateInterference(victim.taskClass, other.taskClass)
            : 0;
    }

    /** How many measurements exist of a pair of tasks on one worker. */
    getObservationCount(victim: TaskSpec, other: TaskSpec): number {
        return this.interference.getObservationCount(victim.taskClass, other.taskClass);
    }

    /** Forgets the slowdown of a worker that is no longer controlled. */
    dropWorker(worker: string): void {
        this.lastSlowdowns.delete(worker);
    }
}
