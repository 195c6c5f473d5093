import { describe, expect, it } from "@jest/globals";
import { limits } from "./limits.js";
import { RoundTimer } from "./roundTimer.js";
import { SingleThreadClock } from "./testing/singleThreadClock.js";

const LENGTH_MS = 20_000;
/** Times of answers in a large fleet. */
const ANSWER_GAP_MS = 2;
const RENEW_GAP_MS = 50;

/** What happened in a loop in which answers ask for rounds and leases are renewed. */
interface Course {
    readonly roundsMs: number;
    readonly rounds: number;
    /** How late each renewal came. */
    readonly lateMs: readonly number[];
}

function runCourse(roundMs: number): Course {
    const loop = new SingleThreadClock();
    const lateMs: number[] = [];
    let rounds = 0;
    const timer = new RoundTimer(loop, () => {
        rounds++;
        loop.run(roundMs);
        return limits.idleRoundMs;
    });
    const answer = () => {
        timer.schedule(limits.roundDelayMs);
        loop.schedule(ANSWER_GAP_MS, answer);
    };
    const scheduleRenewal = (dueMs: number) => {
        loop.schedule(dueMs - loop.getNow(), () => {
            lateMs.push(loop.getNow() - dueMs);
            scheduleRenewal(Math.max(dueMs + RENEW_GAP_MS, loop.getNow()));
        });
    };
    answer();
    scheduleRenewal(RENEW_GAP_MS);
    loop.runUntil(LENGTH_MS);
    return { roundsMs: rounds * roundMs, rounds, lateMs };
}

describe("RoundTimer", () => {
    describe("when rounds take long and every answer asks for one", () => {
        it.each([5, 20, 60])("keeps rounds of %d ms to their share of the loop", roundMs => {
            const { roundsMs } = runCourse(roundMs);
            expect(roundsMs / LENGTH_MS).toBeLessThanOrEqual(limits.maxRoundShare + roundMs / LENGTH_MS);
            expect(roundsMs / LENGTH_MS).toBeGreaterThan(limits.maxRoundShare * 0.8);
        });

        it("lets most renewals of leases meet a free loop, and none wait for two rounds", () => {
            const { lateMs } = runCourse(40);
            expect(Math.max(...lateMs)).toBeLessThanOrEqual(40);
            const late = lateMs.filter(each => each > 0).length;
            expect(late / lateMs.length).toBeLessThan(limits.maxRoundShare * 1.5);
        });
    });

    describe("when rounds take next to nothing", () => {
        it("answers each event within the usual delay", () => {
            expect(runCourse(0).rounds).toBeGreaterThan(LENGTH_MS / (limits.roundDelayMs + ANSWER_GAP_MS) - 1);
        });
    });

    describe("when a round asks for the next one itself", () => {
        it("keeps that to the same share", () => {
            const loop = new SingleThreadClock();
            let rounds = 0;
            const timer: RoundTimer = new RoundTimer(loop, () => {
                rounds++;
                timer.schedule(limits.roundDelayMs);
                loop.run(20);
                return limits.idleRoundMs;
            });
            timer.schedule(0);
            loop.runUntil(LENGTH_MS);
            expect(rounds * 20 / LENGTH_MS).toBeLessThanOrEqual(limits.maxRoundShare + 20 / LENGTH_MS);
        });
    });

    describe("when nobody asks", () => {
        it("still has a round in each idle interval, however long the last one took", () => {
            const loop = new SingleThreadClock();
            const startsMs: number[] = [];
            const timer = new RoundTimer(loop, () => {
                startsMs.push(loop.getNow());
                loop.run(500);
                return limits.idleRoundMs;
            });
            timer.schedule(0);
            loop.runUntil(5000);
            expect(startsMs.slice(0, 3)).toEqual([0, 750, 1500]);
        });
    });

    describe("when it is closed", () => {
        it("runs no more rounds", () => {
            const loop = new SingleThreadClock();
            let rounds = 0;
            const timer: RoundTimer = new RoundTimer(loop, () => {
                rounds++;
                timer.close();
                return 0;
            });
            timer.schedule(0);
            loop.runUntil(1000);
            expect(rounds).toBe(1);
        });
    });
});
