import type { CapacityForecast } from "./capacityForecast.js";
import type { Resources } from "./resources.js";

/**
 * Whether a task that starts at a time has its resources until it ends, so that it delays no reservation.
 *
 * @param forecast The worker's capacity.
 * @param need The task's resources.
 * @param durationMs The task's expected duration, in milliseconds; infinite for a long-running one.
 * @param startMs When the task would start, in milliseconds.
 */
export function isFitting(
    forecast: CapacityForecast,
    need: Resources,
    durationMs: number,
    startMs: number,
): boolean {
    // Between starts of reservations capacity only comes free.
    return isAvailable(forecast, need, startMs)
        && forecast.reservations.every(({ fromMs }) =>
            fromMs <= startMs || fromMs >= startMs + durationMs || isAvailable(forecast, need, fromMs)
        );
}

/** Whether resources are free at a time, reservations included. */
function isAvailable({ free, ends, reservations }: CapacityForecast, need: Resources, atMs: number): boolean {
    let cpuMillis = free.cpuMillis - need.cpuMillis;
    let memoryMb = free.memoryMb - need.memoryMb;
    let accelerators = free.accelerators - need.accelerators;
    for (const end of ends) {
        if (end.atMs <= atMs) {
            cpuMillis += end.cpuMillis;
            memoryMb += end.memoryMb;
            accelerators += end.accelerators;
        }
    }
    for (const reservation of reservations) {
        if (reservation.fromMs <= atMs && atMs < reservation.untilMs) {
            cpuMillis -= reservation.cpuMillis;
            memoryMb -= reservation.memoryMb;
            accelerators -= reservation.accelerators;
        }
    }
    return cpuMillis >= 0 && memoryMb >= 0 && accelerators >= 0;
}
