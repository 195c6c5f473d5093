import { describe, expect, it } from "@jest/globals";
import { createRandom } from "@sardinestage/emulate-platform";
import type { CapacityForecast } from "./capacityForecast.js";
import { isFitting } from "./isFitting.js";
import type { PlannedReservation } from "./plannedReservation.js";
import { planReservations } from "./planReservations.js";
import type { ReservationRequest } from "./reservationRequest.js";
import type { Resources } from "./resources.js";

const SEEDS = Array.from({ length: 300 }, (_unused, index) => index + 1);
/** Times are whole numbers from 0 on, so that an oracle can try each of them. */
const LAST_MS = 60;

type Pick = (from: number, to: number) => number;

function createPick(seed: number): Pick {
    const random = createRandom(seed);
    return (from, to) => from + Math.floor(random() * (to - from + 1));
}

function createNeed(pick: Pick): Resources {
    return { cpuMillis: pick(1, 8), memoryMb: pick(1, 8), accelerators: pick(0, 4) === 0 ? 1 : 0 };
}

function createForecast(pick: Pick): CapacityForecast {
    const ends = Array.from({ length: pick(0, 5) }, () => ({ ...createNeed(pick), atMs: pick(1, 12) }));
    return { free: { cpuMillis: pick(0, 4), memoryMb: pick(0, 8), accelerators: pick(0, 1) }, ends, reservations: [] };
}

function createRequest(pick: Pick, isGang: boolean): ReservationRequest {
    const durationMs = pick(0, 2) === 0 ? Infinity : pick(1, 6);
    return { need: createNeed(pick), durationMs, count: pick(1, 3), maxPerWorker: pick(0, 2), isGang };
}

/** Whether tasks with these starts never use more than a worker has. */
function isWithinCapacity(forecast: CapacityForecast, taken: readonly PlannedReservation[]): boolean {
    const names = ["cpuMillis", "memoryMb", "accelerators"] as const;
    return Array.from({ length: LAST_MS }, (_unused, atMs) => atMs).every(atMs =>
        names.every(name => {
            const ended = forecast.ends.filter(end => end.atMs <= atMs).reduce((sum, end) => sum + end[name], 0);
            const used = taken.filter(each => each.fromMs <= atMs && atMs < each.untilMs)
                .reduce((sum, each) => sum + each[name], 0);
            return used === 0 || used <= forecast.free[name] + ended;
        })
    );
}

/** Tries all workers and times in all orders for the least sum of starts, or for the earliest common start of a gang. */
function findBest(request: ReservationRequest, forecasts: readonly CapacityForecast[]): number {
    const { need, durationMs, count, maxPerWorker, isGang } = request;
    let best = Infinity;
    const tryNext = (taken: readonly PlannedReservation[], sum: number): void => {
        if (taken.length === count) {
            best = Math.min(best, sum);
            return;
        }
        for (let index = taken.at(-1)?.index ?? 0; index < forecasts.length; index++) {
            const there = taken.filter(each => each.index === index);
            const isFull = maxPerWorker > 0 && there.length >= maxPerWorker;
            const last = isGang ? taken.at(0)?.fromMs : undefined;
            for (let fromMs = last ?? there.at(-1)?.fromMs ?? 0; !isFull && fromMs <= (last ?? 30); fromMs++) {
                const next = { ...need, index, fromMs, untilMs: fromMs + durationMs };
                const total = isGang ? fromMs : sum + fromMs;
                if (total < best && isWithinCapacity(forecasts[index], [...there, next])) {
                    tryNext([...taken, next], total);
                }
            }
        }
    };
    tryNext([], 0);
    return best;
}

describe("planReservations", () => {
    describe("on small random fleets", () => {
        it("finds the starts that trying all orders finds for equal tasks", () => {
            let found = 0;
            for (const seed of SEEDS) {
                const pick = createPick(seed);
                const forecasts = Array.from({ length: 3 }, () => createForecast(pick));
                const request = createRequest(pick, seed % 2 === 0);
                const planned = planReservations(request, forecasts, 0);
                const best = findBest(request, forecasts);
                const isComplete = planned.length === request.count;
                const sum = planned.reduce((total, each) => total + each.fromMs, 0);
                const cost = request.isGang ? planned.at(0)?.fromMs : sum;
                expect({ seed, cost: isComplete ? cost : Infinity }).toEqual({ seed, cost: best });
                found += Number(isComplete);
            }
            expect(found).toBeGreaterThan(SEEDS.length / 4);
        });

        it("leaves each reserved start possible when smaller tasks use the room that isFitting gives them", () => {
            let startedCount = 0;
            for (const seed of SEEDS) {
                const pick = createPick(seed);
                const forecast = createForecast(pick);
                const reservations = planReservations(createRequest(pick, false), [forecast], 0);
                const taken: PlannedReservation[] = [...reservations];
                for (let atMs = 0; atMs < 12; atMs++) {
                    const need = createNeed(pick);
                    const durationMs = pick(1, 6);
                    if (isFitting({ ...forecast, reservations: taken }, need, durationMs, atMs)) {
                        taken.push({ ...need, index: 0, fromMs: atMs, untilMs: atMs + durationMs });
                        startedCount++;
                    }
                }
                expect({ seed, isKept: isWithinCapacity(forecast, taken) }).toEqual({ seed, isKept: true });
            }
            expect(startedCount).toBeGreaterThan(SEEDS.length / 4);
        });
    });

    describe("when room comes only after the horizon", () => {
        it("reserves nothing, so that no worker is kept for long", () => {
            const ends = [{ cpuMillis: 4, memoryMb: 4, accelerators: 0, atMs: 50 }];
            const forecast = { free: { cpuMillis: 0, memoryMb: 4, accelerators: 0 }, ends, reservations: [] };
            const need = { cpuMillis: 4, memoryMb: 4, accelerators: 0 };
            const request = { need, durationMs: 5, count: 1, maxPerWorker: 0, isGang: false };
            expect(planReservations(request, [forecast], 0, 50)).toEqual([]);
            expect(planReservations(request, [forecast], 0, 51)).toHaveLength(1);
        });
    });
});
