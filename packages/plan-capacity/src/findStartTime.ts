import type { CapacityForecast } from "./capacityForecast.js";
import { isFitting } from "./isFitting.js";
import type { Resources } from "./resources.js";

/**
 * Finds the earliest time at which a task can start on a worker without delaying a reservation.
 *
 * @param forecast The worker's capacity.
 * @param need The task's resources.
 * @param durationMs The task's expected duration, in milliseconds; infinite for a long-running one.
 * @param nowMs The present time, in milliseconds.
 * @returns Infinity if the task never fits.
 */
export function findStartTime(
    forecast: CapacityForecast,
    need: Resources,
    durationMs: number,
    nowMs: number,
): number {
    if (forecast.reservations.length === 0) {
        return findFirstRoom(forecast, need, nowMs);
    }
    const changes = [...forecast.ends.map(end => end.atMs), ...forecast.reservations.map(each => each.untilMs)];
    const later = changes.filter(atMs => atMs > nowMs && atMs < Infinity).sort((left, right) => left - right);
    return [nowMs, ...later].find(atMs => isFitting(forecast, need, durationMs, atMs)) ?? Infinity;
}

/** Finds the earliest start on a worker without reservations, where capacity only comes free. */
function findFirstRoom({ free, ends }: CapacityForecast, need: Resources, nowMs: number): number {
    let cpuMillis = free.cpuMillis - need.cpuMillis;
    let memoryMb = free.memoryMb - need.memoryMb;
    let accelerators = free.accelerators - need.accelerators;
    let atMs = nowMs;
    const later = [...ends].sort((left, right) => left.atMs - right.atMs);
    for (const end of later) {
        if (end.atMs > atMs && cpuMillis >= 0 && memoryMb >= 0 && accelerators >= 0) {
            return atMs;
        }
        atMs = Math.max(atMs, end.atMs);
        cpuMillis += end.cpuMillis;
        memoryMb += end.memoryMb;
        accelerators += end.accelerators;
    }
    return cpuMillis >= 0 && memoryMb >= 0 && accelerators >= 0 ? atMs : Infinity;
}
