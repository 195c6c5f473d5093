import { describe, expect, it } from "@jest/globals";
import type { LeaseReport } from "@sardinestage/describe-ports";
import { OrderOutcome } from "@sardinestage/describe-ports";
import { RunEnd } from "@sardinestage/describe-work";
import { RelayHarness } from "./testing/relayHarness.js";

const worker = { id: "w0", address: "w0", domain: "here" };
const other = { id: "w1", address: "w1", domain: "here" };
const renewal = { fence: 1, lastRecordedEnd: 0, leaseUntilMs: undefined, waitMs: 1000, bornMs: 5 };
const ended = [{
    number: 1,
    task: { jobId: "job", occurrence: 0, step: 0, index: 0 },
    run: 1,
    end: RunEnd.Done,
    checkpoint: "",
}];
const listing: LeaseReport = { outcome: OrderOutcome.Accepted, clockMs: 1, bornMs: 5, running: [], ended };
const nothing: LeaseReport = { outcome: OrderOutcome.Accepted, clockMs: 1, bornMs: 5, running: [], ended: [] };
const gone: LeaseReport = { outcome: OrderOutcome.Unknown, clockMs: 0, bornMs: 0, running: [], ended: [] };

// Guards against ends that a worker has told a relay in its last answer, after which it was gone.
describe("Ends that a worker has listed to a relay whose session ends before they are passed on", () => {
    it("reach the coordinator with a later renewal if a busy link held one request up", async () => {
        const harness = new RelayHarness(1);
        const relay = harness.addRelay("relay");
        let hasListed = false;
        harness.fleet.renewLease = address => {
            if (address.id === other.id) {
                return Promise.resolve(nothing);
            }
            if (hasListed) {
                return Promise.resolve(gone);
            }
            return new Promise(resolve =>
                harness.clock.schedule(900, () => {
                    hasListed = true;
                    resolve(listing);
                })
            );
        };
        const port = harness.createCoordinatorPort(1, 0);
        port.openSessions();
        await harness.clock.runFor(50);
        const first = port.renewLease(worker, renewal);
        await harness.clock.runFor(100);
        relay.lateMs = 1500;
        const heldUp = port.renewLease(other, renewal);
        await harness.clock.runFor(1100);
        relay.lateMs = 0;
        await harness.clock.runFor(3000);
        await heldUp;
        const told = [...(await first).ended];
        for (let tries = 0; tries < 10; tries++) {
            const report = port.renewLease(worker, renewal);
            await harness.clock.runFor(1500);
            told.push(...(await report).ended);
        }
        expect(hasListed).toBe(true);
        expect(
            harness.events.filter(event =>
                /relay-report-late|relay-answers-untaken|relay-calls-unanswered/.test(event)
            ),
        )
            .not.toEqual([]);
        expect(told).toEqual(ended);
    });
});
