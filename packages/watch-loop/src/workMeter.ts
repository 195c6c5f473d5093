import type { Clock } from "@sardinestage/describe-ports";
import { MeteredWork } from "./meteredWork.js";

/** A call of `measure` in progress. */
interface Span {
    /** Time taken by the calls of `measure` nested in this one, in milliseconds. */
    nestedMs: number;
}

/**
 * Measures how long each kind of work occupies the event loop, so that the log shows which work delays the loop. Time
 * in a nested call of `measure` counts only for the kind of the nested call.
 */
export class WorkMeter {
    private readonly spentMs = new Map<MeteredWork, number>();
    private readonly openSpans: Span[] = [];

    constructor(private readonly clock: Clock) {}

    /** Runs a function and adds its duration to the time of its kind, also when it throws. */
    measure<T>(kind: MeteredWork, run: () => T): T {
        const startedAtMs = this.clock.getNow();
        const span: Span = { nestedMs: 0 };
        this.openSpans.push(span);
        try {
            return run();
        }
        finally {
            this.openSpans.pop();
            const durationMs = this.clock.getNow() - startedAtMs;
            this.spentMs.set(kind, (this.spentMs.get(kind) ?? 0) + durationMs - span.nestedMs);
            const outer = this.openSpans.at(-1);
            if (outer !== undefined) {
                outer.nestedMs += durationMs;
            }
        }
    }

    /** Returns the whole milliseconds that each kind took since the last call, as fields of a log line; resets them. */
    takeTimeSpent(): Record<string, number> {
        const fields = [...this.spentMs].map((
            [kind, ms],
        ) => [`${MeteredWork[kind].toLowerCase()}Ms`, Math.round(ms)]);
        this.spentMs.clear();
        return Object.fromEntries(fields) as Record<string, number>;
    }
}
