import { describe, expect, it, jest } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorBed } from "./testing/coordinatorBed.js";
import { createQueue } from "./testing/createQueue.js";

const ALWAYS = () => 0.5;

function createSpec(steps = [createStep()]): JobSpec {
    return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

describe("LeaseRenewalLoop of a coordinator", () => {
    describe("when a silent worker answers again shortly before its lease expires", () => {
        it("renews the lease before it applies the run ends reported by the worker", async () => {
            const bed = new CoordinatorBed(ALWAYS, task => task.jobId === "short" ? 3000 : 60_000);
            void bed.addWorker("w");
            await bed.clock.runFor(20);
            bed.startTerm(false);
            void bed.submit("lasting", createSpec([createStep({ taskCount: 8, longRunning: true })]), createQueue());
            await bed.clock.runFor(3000);
            void bed.submit("short", createSpec([createStep()]), createQueue());
            await bed.clock.runFor(500);
            const holding = jest.spyOn(bed.fleet, "hold");
            while (holding.mock.calls.length === 0) {
                await bed.clock.runFor(1);
            }
            await bed.clock.runFor(10);
            const cut = bed.fleet.workers.get("w");
            if (cut !== undefined) {
                cut.isCut = true;
                // The last renewal was sent 10 ms ago, for 4.5 s.
                await bed.clock.runFor(4100);
                cut.isCut = false;
            }
            bed.store.faults.answerMs = 600;
            await bed.clock.runFor(2000);
            expect(bed.events.filter(event => event.includes("Lapsed"))).toEqual([]);
            expect(bed.witness.countAtWork()).toBe(8);
        });
    });
});
