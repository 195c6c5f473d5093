import { describe, expect, it } from "@jest/globals";
import type { Clock } from "@sardinestage/describe-ports";
import { authorityTimes } from "./authorityTimes.js";
import { EarlierTerm } from "./earlierTerm.js";
import { Instant } from "./instant.js";
import { TermAuthority } from "./termAuthority.js";

/** A machine's two clocks, of which a test advances each by itself. */
class MachineClock implements Clock {
    steadyMs = 1000;
    wallMs = 1_800_000_000_000;

    getNow(): number {
        return this.steadyMs;
    }

    getWallTime(): number {
        return this.wallMs;
    }

    schedule(): () => void {
        throw new Error("A test of authority needs no timers.");
    }

    /** Advances both clocks. */
    runFor(lengthMs: number): void {
        this.steadyMs += lengthMs;
        this.wallMs += lengthMs;
    }
}

function createAuthority(clock: MachineClock): TermAuthority {
    return new TermAuthority(Instant.readNow(clock));
}

describe("A coordinator's authority", () => {
    it("runs out after the last confirmation", () => {
        const clock = new MachineClock();
        const authority = createAuthority(clock);
        clock.runFor(authorityTimes.confirmedMs - 1);
        expect(authority.isValid).toBe(true);
        clock.runFor(1);
        expect(authority.isValid).toBe(false);
        authority.noteConfirmed(Instant.readNow(clock));
        expect(authority.isValid).toBe(true);
    });

    it("counts from when the store was asked, not from when its answer was read", () => {
        const clock = new MachineClock();
        const authority = createAuthority(clock);
        const askedAt = Instant.readNow(clock);
        clock.runFor(authorityTimes.confirmedMs);
        authority.noteConfirmed(askedAt);
        expect(authority.isValid).toBe(false);
    });

    it("runs out while the machine is suspended and its steady clock stands still", () => {
        const clock = new MachineClock();
        const authority = createAuthority(clock);
        clock.wallMs += authorityTimes.confirmedMs;
        expect(authority.isValid).toBe(false);
    });

    it("runs out although the wall clock is set back", () => {
        const clock = new MachineClock();
        const authority = createAuthority(clock);
        clock.runFor(authorityTimes.confirmedMs);
        clock.wallMs -= 60_000;
        expect(authority.isValid).toBe(false);
    });

    it("is extended by promises, which run out too, and before those who gave them may compete", () => {
        const clock = new MachineClock();
        const authority = createAuthority(clock);
        clock.runFor(authorityTimes.confirmedMs);
        authority.notePromised(Instant.readNow(clock));
        expect(authority.isValid).toBe(true);
        clock.runFor(authorityTimes.promisedMs);
        expect(authority.isValid).toBe(false);
        expect(authorityTimes.promisedMs).toBeLessThan(authorityTimes.promiseKeptMs);
    });

    it("is as old as the newest confirmation or promise", () => {
        const clock = new MachineClock();
        const authority = createAuthority(clock);
        clock.runFor(300);
        expect(authority.ageMs).toBe(300);
        authority.notePromised(Instant.readNow(clock));
        clock.runFor(200);
        expect(authority.ageMs).toBe(200);
        authority.noteConfirmed(Instant.readNow(clock));
        clock.wallMs += 50;
        expect(authority.ageMs).toBe(50);
    });
});

describe("An earlier term", () => {
    const lengthMs = authorityTimes.confirmedMs + authorityTimes.marginMs;

    it("acts no longer than its authority lasts", () => {
        const clock = new MachineClock();
        expect(new EarlierTerm(clock, 0).actsUntilMs).toBe(clock.steadyMs + lengthMs);
        expect(lengthMs).toBeGreaterThan(authorityTimes.confirmedMs);
    });

    it("acts no more once its coordinator is known to have stopped", () => {
        const clock = new MachineClock();
        const earlier = new EarlierTerm(clock, clock.steadyMs - lengthMs);
        clock.runFor(10);
        earlier.noteStopped();
        expect(earlier.actsUntilMs).toBe(clock.steadyMs);
    });

    it("has asked for its last confirmation before the next term began, if it binds its leases by that", () => {
        const clock = new MachineClock();
        const wonAtMs = clock.steadyMs;
        const bound = new EarlierTerm(clock, 0, true);
        const unbound = new EarlierTerm(clock, 0);
        clock.runFor(10);
        expect(bound.confirmedBeforeMs).toBe(wonAtMs);
        expect(unbound.confirmedBeforeMs).toBe(Infinity);
    });

    it("may have had predecessors that act on, if it was short", () => {
        const clock = new MachineClock();
        const earlier = new EarlierTerm(clock, clock.steadyMs - 300);
        earlier.noteStopped();
        expect(earlier.actsUntilMs).toBe(clock.steadyMs - 300 + lengthMs);
    });
});
