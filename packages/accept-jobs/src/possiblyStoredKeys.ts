import { SubmitOutcome } from "./submitOutcome.js";

/** Maximum number of keys, the oldest of which is forgotten first: at most a megabyte. */
const MAX_KEYS = 5000;

/**
 * Remembers the keys of records that may be in the store although their callers were told of no success. A caller may
 * submit such a record again. It mustn't be refused then, since a refusal says that the job never runs.
 */
export class PossiblyStoredKeys {
    /** Keys with an unknown outcome, the oldest first. */
    private readonly unknown = new Set<string>();
    /** Number of records of a key without an outcome yet. */
    private readonly pending = new Map<string, number>();

    /** Notes that a record waits for its outcome. */
    notePending(key: string): void {
        this.pending.set(key, (this.pending.get(key) ?? 0) + 1);
    }

    /** Notes the outcome of a pending record. Returns what its caller may be told. */
    noteOutcome(key: string, outcome: SubmitOutcome): SubmitOutcome {
        const others = (this.pending.get(key) ?? 1) - 1;
        if (others > 0) {
            this.pending.set(key, others);
        }
        else {
            this.pending.delete(key);
        }
        if (outcome === SubmitOutcome.Unknown) {
            this.remember(key);
        }
        if (outcome === SubmitOutcome.Accepted) {
            this.unknown.delete(key);
        }
        const isUnsure = others > 0 || this.unknown.has(key);
        return outcome === SubmitOutcome.Refused && isUnsure ? SubmitOutcome.Unknown : outcome;
    }

    /** Whether a record of this key may be in the store, or may still be written. */
    has(key: string): boolean {
        return this.pending.has(key) || this.unknown.has(key);
    }

    private remember(key: string): void {
        this.unknown.delete(key);
        this.unknown.add(key);
        if (this.unknown.size > MAX_KEYS) {
            const [oldest] = this.unknown;
            this.unknown.delete(oldest);
        }
    }
}
