import type { WorkerCapacity } from "./workerCapacity.js";

/**
 * Estimates how long it takes until a worker has some processor free, in milliseconds: as its run-to-completion tasks end
 * one by one, they free their capacity at a rate of their capacity by their mean duration.
 *
 * @param cpuMillis The processor needed, in thousandths of a core.
 * @returns Infinity if its run-to-completion tasks don't have so much.
 */
export function estimateFreeing(worker: WorkerCapacity, cpuMillis: number): number {
    const missing = Math.max(0, cpuMillis - worker.freeCpuMillis);
    if (missing > worker.runToCompletionCpuMillis) {
        return Infinity;
    }
    return missing === 0 ? 0 : missing * worker.runToCompletionWork / worker.runToCompletionCpuMillis ** 2;
}
