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
    const changes = [...forecast.ends.map(end => end.atMs), ...forecast.reservations.map(each => each.untilMs)];
    const later = changes.filter(atMs => atMs > nowMs && atMs < Infinity).sort((left, right) => left - right);
    return [nowMs, ...later].find(atMs => isFitting(forecast, need, durationMs, atMs)) ?? Infinity;
}
