import { describe, expect, it } from "@jest/globals";
import { limits } from "../limits.js";
import { SingleThreadClock } from "../testing/singleThreadClock.js";
import { RoundTimer } from "./roundTimer.js";

const LENGTH_MS = 20_000;
/** Time between two answers of workers in a large fleet, in milliseconds. */
const ANSWER_GAP_MS = 2;
const RENEW_GAP_MS = 50;

/** The result of running a loop in which answers request rounds and leases are renewed. */
interface LoopResult {
    readonly roundsMs: number;
    readonly rounds: number;
    /** The delay of each renewal, in milliseconds. */
    readonly lateMs: readonly number[];
}

function runAnswers(roundMs: number): LoopResult {
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
    describe("when rounds take long and every answer requests one", () => {
        it.each([5, 20, 60])("limits rounds of %d ms to their share of the loop", roundMs => {
            const { roundsMs } = runAnswers(roundMs);
            expect(roundsMs / LENGTH_MS).toBeLessThanOrEqual(limits.maxRoundShare + roundMs / LENGTH_MS);
            expect(roundsMs / LENGTH_MS).toBeGreaterThan(limits.maxRoundShare * 0.8);
        });

        it("runs most lease renewals on time and delays none by more than one round", () => {
            const { lateMs } = runAnswers(40);
            expect(Math.max(...lateMs)).toBeLessThanOrEqual(40);
            const late = lateMs.filter(each => each > 0).length;
            expect(late / lateMs.length).toBeLessThan(limits.maxRoundShare * 1.5);
        });
    });

    describe("when rounds take no time", () => {
        it("runs a round within the usual delay after each answer", () => {
            expect(runAnswers(0).rounds).toBeGreaterThan(LENGTH_MS / (limits.roundDelayMs + ANSWER_GAP_MS) - 1);
        });
    });

    describe("when a round requests the next one itself", () => {
        it("limits the rounds to the same share of the loop", () => {
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

    describe("when no round is requested", () => {
        it("runs a round after each idle interval, however long the last round took", () => {
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

    describe("when the timer is closed", () => {
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

    describe("when a round throws", () => {
        it("reports the error, and the next round begins all the same", () => {
            const loop = new SingleThreadClock();
            const failures: unknown[] = [];
            let rounds = 0;
            const timer = new RoundTimer(
                loop,
                () => {
                    rounds++;
                    if (rounds === 1) {
                        throw new Error("The round failed.");
                    }
                    return limits.idleRoundMs;
                },
                failure => failures.push(failure),
            );
            timer.schedule(0);
            loop.runUntil(limits.idleRoundMs * 3);
            expect(rounds).toBeGreaterThan(2);
            expect(failures).toHaveLength(1);
        });
    });
});
