import { JobState } from "@sardinestage/describe-work";
import { encodeJobFacts } from "./encodeJobFacts.js";
import type { JobFact } from "./jobFact.js";
import type { JobFacts } from "./jobFacts.js";

/** A job's id: 16 hexadecimal digits. */
const JOB_ID = /^[0-9a-f]{16}$/;
/**
 * Facts in one reply: at four replies a second several times as many as 20 jobs a second bring about, and under a
 * kilobyte, so that a new coordinator isn't held up by the replies to all its followers.
 */
const MAX_FACTS_PER_REPLY = 100;
/** Ended jobs that are remembered: as many as a follower remembers. */
const MAX_ENDED_JOBS = 5000;
/** Outdated entries that are kept at the least, so that they aren't removed with each change. */
const MIN_OUTDATED_ENTRIES = 1000;

/** A fact with the version of its change. */
interface LogEntry extends JobFact {
    readonly version: number;
}

/**
 * The newest state of each job in a term, in the order of the changes. A follower gets the changes since the version
 * that it knows; for a new follower these are all jobs.
 */
export class JobFactLog {
    private entries: LogEntry[] = [];
    private readonly newest = new Map<string, LogEntry>();
    /** Ids of the ended jobs, the one that ended first at the front. */
    private readonly ended = new Set<string>();
    private version = 0;

    constructor(private readonly term: number) {}

    /** Notes the state of an accepted job; a final state only once it is in the store. */
    note(id: string, state: JobState): void {
        if (!JOB_ID.test(id) || this.newest.get(id)?.state === state || this.ended.has(id)) {
            return;
        }
        this.version++;
        const entry = { id, state, version: this.version };
        this.newest.set(id, entry);
        this.entries.push(entry);
        if (state !== JobState.Queued && state !== JobState.Running) {
            this.ended.add(id);
        }
        this.dropOutdated();
    }

    /**
     * Collects the newest changes for a follower, the oldest of them first.
     *
     * @param known What the follower knows, by its request.
     * @param isReady Whether all jobs of the earlier terms have been noted.
     */
    collectSince(known: JobFacts, isReady: boolean): JobFacts {
        const since = known.term === this.term ? known.version : 0;
        const facts: LogEntry[] = [];
        let index = this.findFirstAfter(since);
        while (index < this.entries.length && facts.length < MAX_FACTS_PER_REPLY) {
            const entry = this.entries[index];
            if (this.newest.get(entry.id) === entry) {
                facts.push(entry);
            }
            index++;
        }
        const isLast = index === this.entries.length;
        return {
            term: this.term,
            version: isLast ? this.version : this.entries[index - 1].version,
            ...facts.length > 0 && { rows: encodeJobFacts(facts) },
            ...isLast && isReady && { isComplete: true },
        };
    }

    /** Finds the index of the first entry with a later version, by halving the range. */
    private findFirstAfter(version: number): number {
        let low = 0;
        let high = this.entries.length;
        while (low < high) {
            const middle = Math.floor((low + high) / 2);
            if (this.entries[middle].version > version) {
                high = middle;
            }
            else {
                low = middle + 1;
            }
        }
        return low;
    }

    private dropOutdated(): void {
        if (this.ended.size > MAX_ENDED_JOBS) {
            for (const id of this.ended) {
                this.ended.delete(id);
                this.newest.delete(id);
                break;
            }
        }
        if (this.entries.length > this.newest.size * 2 + MIN_OUTDATED_ENTRIES) {
            this.entries = this.entries.filter(entry => this.newest.get(entry.id) === entry);
        }
    }
}
