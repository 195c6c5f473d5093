import type { StepSpec } from "@sardinestage/describe-work";
import type { HeadroomEstimator } from "@sardinestage/learn-behaviour";

/**
 * Estimates how much headroom a filling task takes from a serving one on the same worker, at full speed.
 *
 * @param image Of the serving task.
 * @param capacityCpuMillis Of the worker, in thousandths of a core.
 */
export function estimateInterference(
    estimator: HeadroomEstimator,
    image: string,
    filler: StepSpec,
    capacityCpuMillis: number,
): number {
    return estimator.estimateHarm(image, filler.image) * filler.cpuMillis / Math.max(1, capacityCpuMillis);
}
