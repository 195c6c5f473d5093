import { describe, expect, it } from "@jest/globals";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { VirtualClock } from "./virtualClock.js";

const SEEDS = [1, 2, 3, 20261204];
const TIMERS = 2000;

/** A scheduled timer; the expected order is computed by sorting these. */
interface Planned {
    readonly atMs: number;
    readonly order: number;
}

describe("VirtualClock", () => {
    describe.each(SEEDS)("with seed %d", seed => {
        it("runs timers by due time, then in the order of scheduling, and skips cancelled ones", async () => {
            const generator = xoroshiro128plus(seed);
            const pick = (limit: number) => (generator.next() >>> 0) % limit;
            const clock = new VirtualClock();
            const planned = new Map<number, Planned>();
            const ran: number[] = [];
            const cancels: (() => void)[] = [];
            let order = 0;
            const schedule = () => {
                const id = order++;
                const delayMs = pick(50);
                planned.set(id, { atMs: clock.getNow() + delayMs, order: id });
                const cancel = clock.schedule(delayMs, () => {
                    ran.push(id);
                    // A running timer schedules more timers, some of them due at the current time.
                    if (order < TIMERS) {
                        schedule();
                        schedule();
                    }
                    if (pick(5) === 0) {
                        cancels[pick(cancels.length)]();
                    }
                });
                cancels[id] = () => {
                    cancel();
                    if (!ran.includes(id)) {
                        planned.delete(id);
                    }
                };
            };
            for (let index = 0; index < 100; index++) {
                schedule();
            }
            await clock.runFor(40);
            await clock.runFor(100_000);
            const expected = [...planned.values()].sort((left, right) =>
                left.atMs - right.atMs || left.order - right.order
            );
            expect(ran).toEqual(expected.map(({ order: id }) => id));
        });
    });

    describe("when a span of time ends", () => {
        it("doesn't run timers that are due later", async () => {
            const clock = new VirtualClock();
            const ran: number[] = [];
            clock.schedule(10, () => ran.push(clock.getNow()));
            clock.schedule(11, () => ran.push(clock.getNow()));
            await clock.runFor(10);
            expect(ran).toEqual([10]);
            expect(clock.getNow()).toBe(10);
            await clock.runFor(10);
            expect(ran).toEqual([10, 11]);
        });
    });
});
