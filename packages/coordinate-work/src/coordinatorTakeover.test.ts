import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorBed } from "./testing/coordinatorBed.js";
import { createQueue } from "./testing/createQueue.js";

const ALWAYS = () => 0.5;

function createSpec(steps = [createStep()]): JobSpec {
    return { payload: "payload", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
}

describe("Coordinator", () => {
    describe("when loading all jobs takes longer than a lease", () => {
        it("renews the leases meanwhile", async () => {
            const bed = new CoordinatorBed(ALWAYS, () => 60_000);
            ["w0", "w1", "w2", "w3"].forEach(id => void bed.addWorker(id));
            await bed.clock.runFor(20);
            bed.startTerm(false);
            void bed.submit("lasting", createSpec([createStep({ taskCount: 32, longRunning: true })]), createQueue());
            await bed.clock.runFor(1000);
            expect(bed.witness.countAtWork()).toBe(32);
            const large = createSpec([createStep({ cpuMillis: 20_000 })]);
            for (let job = 0; job < 600; job++) {
                void bed.submit(`large${job}`, large, createQueue({ priority: 1 }));
            }
            await bed.clock.runFor(1000);
            bed.coordinator?.close();
            await bed.clock.runFor(1500);
            bed.store.faults.answerMs = 400;
            bed.startTerm(false);
            await bed.clock.runFor(8000);
            expect(bed.coordinator?.isReady).toBe(true);
            expect(bed.terms).toBe(2);
            expect(bed.events.filter(event => event.includes("Lapsed"))).toEqual([]);
            expect(bed.witness.faults).toEqual([]);
            expect(bed.witness.countAtWork()).toBe(32);
        });
    });

    describe("when it takes over a large fleet and its thread is saturated by calls", () => {
        it("renews all leases before it applies the reports of the first workers", async () => {
            const bed = new CoordinatorBed(ALWAYS, () => 60_000);
            Array.from({ length: 342 }, (_unused, index) => void bed.addWorker(`w${index}`));
            await bed.clock.runFor(50);
            bed.startTerm(false);
            const lasting = createSpec([createStep({ taskCount: 700, longRunning: true })]);
            void bed.submit("lasting", lasting, createQueue());
            await bed.clock.runFor(4000);
            expect(bed.witness.countAtWork()).toBe(700);
            bed.coordinator?.close();
            // The time without a coordinator in the outage that this test reproduces.
            await bed.clock.runFor(1800);
            bed.callMs = 2;
            bed.startTerm(false);
            await bed.clock.runFor(4000);
            expect(bed.events.filter(event => event.includes("Lapsed"))).toEqual([]);
            expect(bed.witness.countAtWork()).toBe(700);
        });
    });

    describe("when an earlier coordinator may have left unrecorded runs and a worker is silent", () => {
        it("reports unrecorded starts until all workers have reported and their runs are recorded", async () => {
            const bed = new CoordinatorBed(ALWAYS, () => 60_000);
            void bed.addWorker("heard");
            void bed.addWorker("silent");
            await bed.clock.runFor(50);
            const silent = bed.fleet.workers.get("silent");
            Object.assign(silent ?? {}, { isCut: true });
            bed.startTerm(true);
            expect(bed.coordinator?.hasUnrecordedStarts).toBe(true);
            await bed.clock.runFor(3000);
            expect(bed.coordinator?.hasUnrecordedStarts).toBe(true);
            Object.assign(silent ?? {}, { isCut: false });
            await bed.clock.runFor(2000);
            expect(bed.coordinator?.hasUnrecordedStarts).toBe(false);
        });
    });
});
