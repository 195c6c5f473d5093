import { describe, expect, it } from "@jest/globals";
import type { JobSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { CoordinatorHarness } from "../testing/coordinatorHarness.js";
import { createQueue } from "../testing/createQueue.js";

const WORKERS = 20;
const STORE_AWAY_MS = 5000;

function createSpec(taskCount: number): JobSpec {
    return {
        payload: "",
        steps: [createStep({ taskCount, cpuMillis: 8000 })],
        repeatCount: 0,
        firstRunMs: 0,
        intervalMs: 0,
    };
}

/** Counts the calls for leases and lists in which the store takes no record, after each worker has told one end. */
async function countCalls(leave: (harness: CoordinatorHarness, id: string) => Promise<void>): Promise<number> {
    const harness = new CoordinatorHarness(() => 0.5, ({ index }) => index < WORKERS ? 3000 : 30_000);
    const ids = Array.from({ length: WORKERS }, (_, index) => `w${index}`);
    ids.forEach(id => void harness.addWorker(id));
    await harness.clock.runFor(50);
    harness.startTerm(false);
    await harness.clock.runFor(1000);
    void harness.submit("job", createSpec(WORKERS * 2), createQueue());
    await harness.clock.runFor(1000);
    expect(harness.runChecker.countActiveRuns()).toBe(WORKERS * 2);
    for (const id of ids) {
        void leave(harness, id);
    }
    await harness.clock.runFor(500);
    harness.store.faults.isDown = true;
    while (harness.runChecker.countActiveRuns() > WORKERS) {
        await harness.clock.runFor(1);
    }
    let calls = 0;
    for (const worker of harness.fleet.workers.values()) {
        const renew = worker.renewLease.bind(worker);
        worker.renewLease = order => {
            calls++;
            return renew(order);
        };
    }
    await harness.clock.runFor(STORE_AWAY_MS);
    return calls;
}

// Guards against a load that comes just when the store is away: entries may vanish then, and each call is a probe.
describe("While the store takes no record", () => {
    it("workers that leave are asked at most twice as often as others", async () => {
        const usual = await countCalls(() => Promise.resolve());
        const draining = await countCalls((harness, id) => harness.drainWorker(id));
        const unlisted = await countCalls((harness, id) => harness.withdrawEntry(id));
        expect(draining).toBeLessThanOrEqual(usual * 2);
        expect(unlisted).toBeLessThanOrEqual(usual * 2);
    });
});
