import type { Clock } from "@sardinestage/describe-ports";
import { WorkKind } from "./workKind.js";

/** A piece of work that is being measured. */
interface Piece {
    /** What pieces of other kinds within it took, in milliseconds. */
    innerMs: number;
}

/**
 * Measures how long the loop is taken by each kind of work, so that a process that is late can tell what it is late
 * for. What a piece of one kind does within one of another counts once, for itself.
 */
export class WorkMeter {
    private readonly spentMs = new Map<WorkKind, number>();
    private readonly pieces: Piece[] = [];

    constructor(private readonly clock: Clock) {}

    /** Does a piece of work, and measures it. */
    measure<T>(kind: WorkKind, run: () => T): T {
        const startedAtMs = this.clock.getNow();
        const piece: Piece = { innerMs: 0 };
        this.pieces.push(piece);
        try {
            return run();
        }
        finally {
            this.pieces.pop();
            const wholeMs = this.clock.getNow() - startedAtMs;
            this.spentMs.set(kind, (this.spentMs.get(kind) ?? 0) + wholeMs - piece.innerMs);
            const outer = this.pieces.at(-1);
            if (outer !== undefined) {
                outer.innerMs += wholeMs;
            }
        }
    }

    /** What each kind took since the last call, in whole milliseconds, as fields of a log line. */
    takeSpent(): Record<string, number> {
        const fields = [...this.spentMs].map(([kind, ms]) => [`${WorkKind[kind].toLowerCase()}Ms`, Math.round(ms)]);
        this.spentMs.clear();
        return Object.fromEntries(fields) as Record<string, number>;
    }
}
