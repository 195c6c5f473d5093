import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import type { LeaseReport } from "@sardinestage/describe-ports";
import { OrderOutcome } from "@sardinestage/describe-ports";
import { RunEnd } from "@sardinestage/describe-work";
import { VirtualClock } from "@sardinestage/emulate-platform";
import type { CoordinatorParts } from "../coordinatorParts.js";
import { createTrackedWorker } from "../testing/createTrackedWorker.js";
import { LeaseRenewalLoop } from "./leaseRenewalLoop.js";

const ended = { number: 1, task: { jobId: "job", occurrence: 0, step: 0, index: 0 }, run: 1, end: RunEnd.Done };
const report: LeaseReport = {
    outcome: OrderOutcome.Accepted,
    clockMs: 1000,
    bornMs: 1,
    running: [],
    ended: [{ ...ended, checkpoint: "" }],
};

/** Creates only the dependencies that a lease renewal loop uses. */
function createParts(clock: VirtualClock): CoordinatorParts {
    const workers = {
        renewLease: () => new Promise<LeaseReport>(resolve => clock.schedule(5, () => resolve(report))),
    };
    const parts = {
        clock,
        workers,
        term: 1,
        hasAuthority: () => true,
        getAuthorityAge: () => 0,
        rules: { leaseMs: 4500 },
        metrics: new Metrics(),
        logger: { info: () => undefined },
        getLoopDelay: () => 0,
    };
    return parts as unknown as CoordinatorParts;
}

describe("LeaseRenewalLoop", () => {
    describe("when a worker reports a run end of a job that wasn't read yet", () => {
        it("doesn't apply the report until the job has been read from the store", async () => {
            const clock = new VirtualClock();
            let isRead = false;
            let applied = 0;
            let lookups = 0;
            const loop = new LeaseRenewalLoop(createParts(clock), createTrackedWorker("w"), {
                waitUntilOpen: () => true,
                noteEndsLeftAside: () => undefined,
                hasAllJobs: () => {
                    lookups++;
                    return Promise.resolve(isRead);
                },
                applyReport: () => applied++,
                isOver: () => applied >= 3,
            });
            void loop.run();
            await clock.runFor(1000);
            expect(applied).toBe(0);
            expect(lookups).toBeGreaterThan(3);
            // The job is looked up again after a pause, not in a busy loop.
            expect(lookups).toBeLessThan(12);
            isRead = true;
            await clock.runFor(1000);
            expect(applied).toBe(3);
        });
    });

    describe("when applying a report fails unexpectedly", () => {
        it("logs the error and renews the lease again", async () => {
            const clock = new VirtualClock();
            const logged: string[] = [];
            const logger = { error: (event: string) => logged.push(event), info: () => undefined };
            let applied = 0;
            const loop = new LeaseRenewalLoop(
                { ...createParts(clock), logger } as unknown as CoordinatorParts,
                createTrackedWorker("w"),
                {
                    waitUntilOpen: () => true,
                    noteEndsLeftAside: () => undefined,
                    hasAllJobs: () => true,
                    applyReport: () => {
                        applied++;
                        if (applied === 1) {
                            throw new Error("The report is malformed.");
                        }
                    },
                    isOver: () => applied >= 3,
                },
            );
            void loop.run();
            await clock.runFor(3000);
            expect(applied).toBe(3);
            expect(logged).toEqual(["renewal-failed"]);
        });
    });
});
