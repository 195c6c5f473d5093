import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import { createStep, VirtualClock } from "@sardinestage/emulate-platform";
import { encodeJobRecord } from "@sardinestage/track-jobs";
import { createQueue } from "../testing/createQueue.js";
import { JobLookup } from "./jobLookup.js";
import { JobRegistry } from "./jobRegistry.js";

const MAX_BYTES = 10_000;
const ID = "5c0e7a21d94b36f8";

/** Creates a lookup without room for a job; `refresh` reads the store. */
function createFullLookup(refresh: (jobs: JobRegistry) => Promise<boolean>) {
    const clock = new VirtualClock();
    const parts = { clock, metrics: new Metrics(), rules: { maxOpenJobBytes: MAX_BYTES } };
    const jobs = new JobRegistry();
    const lookup = new JobLookup(parts, jobs, () => refresh(jobs));
    lookup.noteSize("open", { bytes: MAX_BYTES, steps: 10 });
    return { clock, lookup };
}

function addJob(jobs: JobRegistry): void {
    const spec = { payload: "", steps: [createStep()], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
    jobs.addJob({ key: ID, value: encodeJobRecord({ spec, queue: createQueue(), acceptedAtMs: 0 }) });
}

// Guards against a refusal of a job that was accepted before, which runs.
describe("JobLookup without room for a job", () => {
    it("refuses a job that the store doesn't have", async () => {
        expect(await createFullLookup(() => Promise.resolve(true)).lookup.admitJob(ID, 1)).toBe(false);
    });

    it("admits a job that the store has, though it wasn't read yet", async () => {
        const { lookup } = createFullLookup(jobs => {
            addJob(jobs);
            return Promise.resolve(true);
        });
        expect(await lookup.admitJob(ID, 1)).toBe(true);
    });

    it.each([
        { name: "fails", refresh: () => Promise.resolve(false) },
        { name: "takes long", refresh: () => new Promise<boolean>(() => undefined) },
    ])("doesn't know when the read of the store $name", async ({ refresh }) => {
        const { lookup, clock } = createFullLookup(refresh);
        const answer = lookup.admitJob(ID, 1);
        await clock.runFor(1000);
        expect(await answer).toBe("unknown");
    });
});
