import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";
import { computeShare } from "./computeShare.js";
import { computeShareLevel } from "./computeShareLevel.js";
import type { QueueLoad } from "./queueLoad.js";

const TOLERANCE_CPU_MILLIS = 0.01;
const amounts = fc.integer({ min: 0, max: 100_000 });
const loads = fc.array(
    fc.record({ heldCpuMillis: amounts, usedCpuMillis: amounts, waitingCpuMillis: amounts })
        .map(load => ({ ...load, usedCpuMillis: load.heldCpuMillis + load.usedCpuMillis })),
    { minLength: 1, maxLength: 6 },
);

function createLoad(usedCpuMillis: number, waitingCpuMillis: number, heldCpuMillis = 0): QueueLoad {
    return { usedCpuMillis, waitingCpuMillis, heldCpuMillis };
}

function computeShareSum(list: readonly QueueLoad[], level: number): number {
    return list.reduce((sum, load) => sum + computeShare(load, level), 0);
}

describe("The level of the shares", () => {
    it("is infinite if the capacity suffices for all queues", () => {
        expect(computeShareLevel([createLoad(100, 200), createLoad(500, 200)], 1000)).toBe(Infinity);
    });

    it("gives what one queue doesn't want to the others", () => {
        const list = [createLoad(0, 100), createLoad(900, 5000), createLoad(0, 2000)];
        expect(computeShareLevel(list, 1000)).toBe(450);
    });

    // Guards against a burst that counts as within its share because of capacity that never comes free.
    it("doesn't divide the capacity that long-running tasks hold", () => {
        const list = [createLoad(9500, 5000, 9500), createLoad(490, 3500), createLoad(10, 90)];
        expect(computeShareLevel(list, 10_000)).toBe(400);
    });

    // Guards against the same rank for all queues on a fleet that is full of long-running tasks.
    it("lies above the least use if long-running tasks use everything", () => {
        const list = [createLoad(5000, 100, 5000), createLoad(100, 100, 100)];
        expect(computeShareLevel(list, 5100)).toBe(101);
    });

    describe("for any loads", () => {
        it("divides all capacity that long-running tasks don't hold, and no more", () => {
            fc.assert(fc.property(loads, amounts, (list, free) => {
                const capacity = list.reduce((sum, load) => sum + load.usedCpuMillis, free);
                const level = computeShareLevel(list, capacity);
                const least = Math.min(
                    ...list.filter(load => load.waitingCpuMillis > 0).map(load => load.usedCpuMillis),
                ) + 1;
                const wanted = list.reduce((sum, load) => sum + load.usedCpuMillis + load.waitingCpuMillis, 0);
                const expected = Math.min(wanted, capacity);
                if (level === least) {
                    expect(computeShareSum(list, level)).toBeGreaterThanOrEqual(expected - TOLERANCE_CPU_MILLIS);
                }
                else {
                    expect(Math.abs(computeShareSum(list, level) - expected)).toBeLessThan(TOLERANCE_CPU_MILLIS);
                }
            }));
        });

        it("gives no queue less than it wants while another gets more by the division", () => {
            fc.assert(fc.property(loads, amounts, (list, free) => {
                const capacity = list.reduce((sum, load) => sum + load.usedCpuMillis, free);
                const level = computeShareLevel(list, capacity);
                for (const load of list) {
                    const isShort = computeShare(load, level) < load.usedCpuMillis + load.waitingCpuMillis;
                    const largest = Math.max(
                        ...list.filter(other => computeShare(other, level) > other.heldCpuMillis)
                            .map(other => computeShare(other, level)),
                    );
                    expect(!isShort || computeShare(load, level) >= largest).toBe(true);
                }
            }));
        });
    });
});
