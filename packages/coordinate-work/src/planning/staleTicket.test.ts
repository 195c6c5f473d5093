import { describe, expect, it, jest } from "@jest/globals";
import { OrderOutcome } from "@sardinestage/describe-ports";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const FOREVER_MS = 600_000;
const VALID_MS = 60_000;
const ADVICE = { decideMs: 0, eachMs: 0, validMs: VALID_MS };
/** A long-running task may be without a run for so long while nothing is wrong, in milliseconds. */
const MAX_WAIT_MS = 3000;

function createSpec(): JobSpec {
    const steps = [createStep({ longRunning: true })];
    return { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

describe("A ticket that a worker refuses", () => {
    describe("though it would be valid for long, since the worker has restarted", () => {
        it("isn't used again: a new one is asked for, and the long-running task runs", async () => {
            const harness = new CoordinatorHarness(() => 0.5, () => FOREVER_MS);
            let tickets = 0;
            harness.requestTickets = (_jobId, _occurrence, _step, workers) => {
                tickets++;
                const ticket = `ticket${tickets}`;
                return Promise.resolve({
                    tickets: workers.map(workerId => ({ workerId, ticket })),
                    validMs: VALID_MS,
                });
            };
            const start = harness.fleet.start.bind(harness.fleet);
            const starts = jest.spyOn(harness.fleet, "start").mockImplementation((worker, order) =>
                order.ticket === "ticket1" ? Promise.resolve(OrderOutcome.TicketInvalid) : start(worker, order)
            );
            void harness.addWorker("w");
            await harness.clock.runFor(50);
            harness.startTerm(false);
            await harness.clock.runFor(500);
            void harness.submit("lasting", createSpec(), createQueue({ advice: ADVICE }));
            await harness.clock.runFor(MAX_WAIT_MS);
            expect(harness.runChecker.countActiveRuns()).toBe(1);
            expect(starts.mock.calls.filter(([, order]) => order.ticket === "ticket1")).toHaveLength(1);
        });
    });
});
