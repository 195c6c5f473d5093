import { describe, expect, it } from "@jest/globals";
import { JobState } from "@sardinestage/describe-work";
import { decodeJobFacts } from "./decodeJobFacts.js";
import { JobFactLog } from "./jobFactLog.js";
import type { JobFacts } from "./jobFacts.js";

const TERM = 7;
const NOTHING: JobFacts = { term: -1, version: 0 };
const MAX_REPLY_BYTES = 1000;

function createId(index: number): string {
    return index.toString(16).padStart(16, "0");
}

/** Replies to a follower until it knows everything; returns the facts in the order in which it got them. */
function collectAll(log: JobFactLog, known: JobFacts) {
    const facts: { readonly id: string; readonly state: JobState }[] = [];
    let reply = known;
    for (let replies = 0; replies < 1000 && reply.isComplete !== true; replies++) {
        reply = log.collectSince(reply, true);
        expect(reply.rows?.length ?? 0).toBeLessThan(MAX_REPLY_BYTES);
        facts.push(...decodeJobFacts(reply.rows ?? new Uint8Array()));
    }
    return { facts, reply };
}

describe("JobFactLog", () => {
    it("tells a new follower the newest state of each job, and only this one", () => {
        const log = new JobFactLog(TERM);
        const states = [JobState.Completed, JobState.Failed, JobState.Cancelled, JobState.Running, JobState.Queued];
        states.forEach((_, index) => log.note(createId(index), JobState.Queued));
        states.forEach((state, index) => log.note(createId(index), state));
        const { facts } = collectAll(log, NOTHING);
        expect(new Map(facts.map(({ id, state }) => [id, state]))).toEqual(
            new Map(states.map((state, index) => [createId(index), state])),
        );
        expect(facts.length).toBe(states.length);
    });

    it("tells a follower only what has changed since its last reply, and nothing if nothing has", () => {
        const log = new JobFactLog(TERM);
        log.note(createId(1), JobState.Queued);
        log.note(createId(2), JobState.Queued);
        const { reply } = collectAll(log, NOTHING);
        expect(log.collectSince(reply, true)).toEqual({ term: TERM, version: reply.version, isComplete: true });
        log.note(createId(1), JobState.Running);
        log.note(createId(1), JobState.Running);
        const known = { term: reply.term, version: reply.version };
        expect(collectAll(log, known).facts).toEqual([{ id: createId(1), state: JobState.Running }]);
    });

    it("tells a follower of another term everything", () => {
        const log = new JobFactLog(TERM);
        log.note(createId(1), JobState.Queued);
        expect(collectAll(log, { term: TERM - 1, version: 900 }).facts).toEqual([
            { id: createId(1), state: JobState.Queued },
        ]);
    });

    it("sends many facts in several replies of less than a kilobyte, and calls only the last one complete", () => {
        const log = new JobFactLog(TERM);
        for (let index = 0; index < 1234; index++) {
            log.note(createId(index), JobState.Queued);
        }
        expect(log.collectSince(NOTHING, true).isComplete).toBeUndefined();
        expect(new Set(collectAll(log, NOTHING).facts.map(({ id }) => id)).size).toBe(1234);
    });

    it("calls no reply complete before the takeover is", () => {
        const log = new JobFactLog(TERM);
        log.note(createId(1), JobState.Queued);
        expect(log.collectSince(NOTHING, false).isComplete).toBeUndefined();
    });

    it("never takes back an end", () => {
        const log = new JobFactLog(TERM);
        log.note(createId(1), JobState.Completed);
        log.note(createId(1), JobState.Running);
        expect(collectAll(log, NOTHING).facts).toEqual([{ id: createId(1), state: JobState.Completed }]);
    });

    it("tells a follower that lags behind everything that it lacks, however often jobs change", () => {
        const log = new JobFactLog(TERM);
        log.note(createId(0), JobState.Queued);
        const { term, version } = collectAll(log, NOTHING).reply;
        for (let index = 1; index < 4000; index++) {
            [JobState.Queued, JobState.Running, JobState.Completed].forEach(state => log.note(createId(index), state));
        }
        const { facts } = collectAll(log, { term, version });
        expect(facts.filter(({ state }) => state === JobState.Completed).length).toBe(3999);
        expect(facts.length).toBe(3999);
    });

    it("remembers a limited number of ended jobs", () => {
        const log = new JobFactLog(TERM);
        for (let index = 0; index < 7000; index++) {
            log.note(createId(index), JobState.Queued);
            log.note(createId(index), JobState.Completed);
        }
        const ids = collectAll(log, NOTHING).facts.map(({ id }) => id);
        expect(ids.length).toBe(5000);
        expect(ids.at(-1)).toBe(createId(6999));
    });

    it("leaves out ids that aren't 16 hexadecimal digits", () => {
        const log = new JobFactLog(TERM);
        log.note("job", JobState.Queued);
        expect(collectAll(log, NOTHING).facts).toEqual([]);
    });
});

describe("decodeJobFacts", () => {
    it("leaves out states that this version doesn't know, and a row that isn't complete", () => {
        const bytes = Uint8Array.from([...Buffer.from("5c0e7a21d94b36f8", "hex"), 200, 1, 2]);
        expect(decodeJobFacts(bytes)).toEqual([]);
    });
});
