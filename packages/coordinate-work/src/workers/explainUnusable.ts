import { WorkerState } from "@sardinestage/describe-work";
import { limits } from "../limits.js";
import { isTrialRun } from "./isTrialRun.js";
import type { TrackedWorker } from "./trackedWorker.js";
import { UnusableReason } from "./unusableReason.js";

/** Explains why a worker may get no start now; undefined if it may get one. */
export function explainUnusable(worker: TrackedWorker, nowMs: number): UnusableReason | undefined {
    if (worker.isUnlisted) {
        return UnusableReason.Unlisted;
    }
    if (worker.entry.state !== WorkerState.Ready) {
        return UnusableReason.Draining;
    }
    if (worker.missedRenewals > 0 || worker.hasUnansweredStart) {
        return UnusableReason.Silent;
    }
    if (!worker.isLifeReported) {
        return UnusableReason.Unreported;
    }
    if (nowMs - worker.answeredAtMs > limits.workerSilenceMs) {
        return UnusableReason.Silent;
    }
    if (worker.strayRuns.size > 0) {
        return UnusableReason.StrayRuns;
    }
    if (nowMs < worker.blockedUntilMs) {
        return UnusableReason.Paused;
    }
    if (nowMs < worker.probationUntilMs) {
        return UnusableReason.Probation;
    }
    if ([...worker.tasks].some(task => isTrialRun(task, worker))) {
        return UnusableReason.OnTrial;
    }
    return worker.isEvacuated ? UnusableReason.Evacuated : undefined;
}
