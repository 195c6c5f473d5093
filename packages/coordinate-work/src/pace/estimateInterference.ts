import type { StepSpec } from "@sardinestage/describe-work";
import type { HeadroomEstimator } from "@sardinestage/learn-behaviour";

/**
 * Estimates how much headroom a best-effort task at full speed takes from a serving task on the same worker.
 *
 * @param image The image of the serving task.
 * @param bestEffort The step of the best-effort task.
 * @param capacityCpuMillis The processor of the worker, in thousandths of a core.
 */
export function estimateInterference(
    estimator: HeadroomEstimator,
    image: string,
    bestEffort: StepSpec,
    capacityCpuMillis: number,
): number {
    return estimator.estimateInterference(image, bestEffort.image) * bestEffort.cpuMillis
        / Math.max(1, capacityCpuMillis);
}
