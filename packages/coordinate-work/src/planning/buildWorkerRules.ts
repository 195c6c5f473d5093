import type { StartRules } from "@sardinestage/plan-starts";
import { WorkerTrust } from "@sardinestage/plan-starts";
import type { SchedulingFeatures } from "../schedulingFeatures.js";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import { buildWorkerSpeeds } from "./buildWorkerSpeeds.js";

/** Workers on which tasks take more than this many times as long as expected are avoided while others have room. */
const MAX_SLOWNESS = 2;

/**
 * Builds the rules of a planning round by which workers are told apart; none if no feature asks for it.
 *
 * @param workers The workers by id.
 * @param features The parts of scheduling that are on.
 * @param nowMs Steady milliseconds.
 */
export function buildWorkerRules(
    workers: ReadonlyMap<string, TrackedWorker>,
    { copiesSlowTasks, protectsLastAttempts, prefersFastWorkers }: SchedulingFeatures,
    nowMs: number,
): Pick<StartRules, "isSlow" | "speeds" | "estimateTrust" | "getProvenAt"> {
    const isSlow = (workerId: string) => (workers.get(workerId)?.slowness.estimateSlowness(nowMs) ?? 1) > MAX_SLOWNESS;
    const trustRules = {
        estimateTrust: (workerId: string) =>
            workers.get(workerId)?.recentEnds.estimateTrust(nowMs) ?? WorkerTrust.Unknown,
        getProvenAt: (workerId: string) => workers.get(workerId)?.recentEnds.provenAtMs ?? -Infinity,
    };
    const speeds = prefersFastWorkers ? buildWorkerSpeeds(workers.values(), nowMs) : undefined;
    return {
        ...speeds !== undefined && { speeds },
        ...(copiesSlowTasks || protectsLastAttempts) && { isSlow },
        ...protectsLastAttempts && trustRules,
    };
}
