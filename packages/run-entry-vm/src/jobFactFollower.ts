import type { JobStateCache } from "@sardinestage/accept-jobs";
import { decodeJobFacts } from "./decodeJobFacts.js";
import type { JobFacts } from "./jobFacts.js";

/** Takes the states of jobs that the coordinator tells, so that this VM can answer questions while it is away. */
export class JobFactFollower {
    private term = -1;
    private version = 0;

    constructor(private readonly jobStateCache: JobStateCache) {}

    /** What is known here, for the next request. */
    get known(): JobFacts {
        return { term: this.term, version: this.version };
    }

    /**
     * Takes the facts of a reply.
     *
     * @param facts The facts; undefined from a VM of an earlier version.
     * @param sentAtMs When the request was sent, in steady milliseconds.
     */
    applyFacts(facts: JobFacts | undefined, sentAtMs: number): void {
        if (facts === undefined) {
            return;
        }
        this.term = facts.term;
        this.version = facts.version;
        if (facts.rows !== undefined) {
            decodeJobFacts(facts.rows).forEach(({ id, state }) => this.jobStateCache.noteState(id, state));
        }
        if (facts.isComplete === true) {
            this.jobStateCache.noteCurrent(sentAtMs);
        }
    }
}
