import { beforeEach, describe, expect, it } from "@jest/globals";
import { JobStateCache } from "@sardinestage/accept-jobs";
import { JobState } from "@sardinestage/describe-work";
import { VirtualClock } from "@sardinestage/emulate-platform";
import { encodeJobFacts } from "./encodeJobFacts.js";
import { JobFactFollower } from "./jobFactFollower.js";

const ID = "5c0e7a21d94b36f8";
const KEEP_MS = 120_000;
const TERM = 3;

describe("JobFactFollower", () => {
    let clock: VirtualClock;
    let cache: JobStateCache;
    let follower: JobFactFollower;

    beforeEach(() => {
        clock = new VirtualClock();
        cache = new JobStateCache(clock, KEEP_MS);
        follower = new JobFactFollower(cache);
    });

    function createRows(state: JobState): Uint8Array {
        return encodeJobFacts([{ id: ID, state }]);
    }

    it.each([JobState.Queued, JobState.Running, JobState.Completed, JobState.Failed, JobState.Cancelled])(
        "remembers a job that is %s, and asks for what is newer",
        state => {
            follower.applyFacts({ term: TERM, version: 5, rows: createRows(state) }, clock.getNow());
            expect(cache.findLastState(ID)).toBe(state);
            expect(follower.known).toEqual({ term: TERM, version: 5 });
        },
    );

    it("goes on from the version of the next coordinator, and keeps an end whatever that one says", () => {
        follower.applyFacts({ term: TERM, version: 50, rows: createRows(JobState.Completed) }, clock.getNow());
        follower.applyFacts({ term: TERM + 1, version: 1, rows: createRows(JobState.Running) }, clock.getNow());
        expect(follower.known).toEqual({ term: TERM + 1, version: 1 });
        expect(cache.findLastState(ID)).toBe(JobState.Completed);
    });

    it("takes what it knows for current only after a complete reply, for some seconds from its request on", async () => {
        follower.applyFacts({ term: TERM, version: 5, rows: createRows(JobState.Running) }, clock.getNow());
        expect(cache.findCurrentState(ID)).toBeUndefined();
        follower.applyFacts({ term: TERM, version: 5, isComplete: true }, clock.getNow());
        expect(cache.findCurrentState(ID)).toBe(JobState.Running);
        await clock.runFor(2900);
        expect(cache.findCurrentState(ID)).toBe(JobState.Running);
        await clock.runFor(200);
        expect(cache.findCurrentState(ID)).toBeUndefined();
    });

    it("keeps what it knows after a reply of an earlier version, which tells nothing of jobs", () => {
        follower.applyFacts({ term: TERM, version: 5, rows: createRows(JobState.Running) }, clock.getNow());
        follower.applyFacts(undefined, clock.getNow());
        expect(follower.known).toEqual({ term: TERM, version: 5 });
        expect(cache.findLastState(ID)).toBe(JobState.Running);
    });
});
