import type { Clock } from "@sardinestage/describe-ports";

/**
 * A point in time on two clocks: the steady one stands still while a machine is suspended, and the wall clock may be
 * set back. What an elapsed time permits is judged by the clock on which more has passed.
 */
export class Instant {
    private constructor(
        private readonly clock: Clock,
        private readonly steadyMs: number,
        private readonly wallMs: number,
    ) {}

    /** Reads the present time. */
    static readNow(clock: Clock): Instant {
        return new Instant(clock, clock.getNow(), clock.getWallTime());
    }

    /** The time passed since then, on the clock on which more has passed, in milliseconds. */
    get ageMs(): number {
        return Math.max(this.clock.getNow() - this.steadyMs, this.clock.getWallTime() - this.wallMs);
    }

    /** The time of the steady clock then, in milliseconds. */
    get atMs(): number {
        return this.steadyMs;
    }
}
