import type { CapacityForecast } from "./capacityForecast.js";
import { findStartTime } from "./findStartTime.js";
import { isFitting } from "./isFitting.js";
import type { PlannedReservation } from "./plannedReservation.js";
import type { ReservationRequest } from "./reservationRequest.js";

/**
 * Reserves room for waiting tasks where they can start soonest, without delaying earlier reservations.
 *
 * @param request The waiting tasks.
 * @param forecasts The capacity of the workers that the tasks may use; undefined for others.
 * @param nowMs The present time, in milliseconds.
 * @param horizonMs A task that can't start before this time gets no reservation.
 * @returns The reservations, the soonest first; for a gang one for each member, or none.
 */
export function planReservations(
    request: ReservationRequest,
    forecasts: readonly (CapacityForecast | undefined)[],
    nowMs: number,
    horizonMs = Infinity,
): PlannedReservation[] {
    const { need, count, isGang, durationMs } = request;
    // Further starts on a worker aren't sooner than its first one, so that only the soonest workers matter.
    const soonest = forecasts
        .map((forecast, index) => {
            const fromMs = forecast === undefined
                ? Infinity
                : findStartTime(forecast, need, isGang ? Infinity : durationMs, nowMs);
            return { forecast, index, fromMs };
        })
        .filter(({ fromMs }) => fromMs < horizonMs)
        .sort((left, right) => left.fromMs - right.fromMs)
        .slice(0, count);
    const found = soonest
        .flatMap(({ forecast, index }) => forecast === undefined ? [] : listStarts(request, forecast, index, nowMs))
        .filter(({ fromMs }) => fromMs < horizonMs)
        .sort((left, right) => left.fromMs - right.fromMs)
        .slice(0, count);
    return request.isGang ? listCommonStarts(request, found, forecasts) : found;
}

/** Lists the starts of as many of the tasks as one worker can take, one after another. */
function listStarts(
    request: ReservationRequest,
    forecast: CapacityForecast,
    index: number,
    nowMs: number,
): PlannedReservation[] {
    const { need, durationMs, count, maxPerWorker, isGang } = request;
    const found: PlannedReservation[] = [];
    // Members of a gang run at the same time, so that none follows another one.
    const lastingMs = isGang ? Infinity : durationMs;
    const maxCount = maxPerWorker === 0 ? count : Math.min(count, maxPerWorker);
    while (found.length < maxCount) {
        const reservations = [...forecast.reservations, ...found];
        const fromMs = findStartTime({ ...forecast, reservations }, need, lastingMs, nowMs);
        if (fromMs === Infinity) {
            break;
        }
        found.push({ ...need, index, fromMs, untilMs: fromMs + lastingMs });
    }
    return found;
}

/** Lets all members of a gang start when the last one can, if each of them still fits then. */
function listCommonStarts(
    request: ReservationRequest,
    found: readonly PlannedReservation[],
    forecasts: readonly (CapacityForecast | undefined)[],
): PlannedReservation[] {
    const fromMs = found.at(-1)?.fromMs;
    if (fromMs === undefined || found.length < request.count) {
        return [];
    }
    const aligned: PlannedReservation[] = [];
    for (const { index } of found) {
        const forecast = forecasts[index];
        const others = aligned.filter(each => each.index === index);
        const reservations = [...forecast?.reservations ?? [], ...others];
        if (forecast === undefined || !isFitting({ ...forecast, reservations }, request.need, Infinity, fromMs)) {
            return [];
        }
        aligned.push({ ...request.need, index, fromMs, untilMs: fromMs + request.durationMs });
    }
    return aligned;
}
