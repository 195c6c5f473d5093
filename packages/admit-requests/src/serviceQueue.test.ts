import { describe, expect, it } from "@jest/globals";
import { Urgency } from "@sardinestage/types";
import { RefusalReason } from "./refusalReason.js";
import { ServiceQueue } from "./serviceQueue.js";

/** Creates a queue with a settable number of free targets and a settable clock. Logs the result of each request. */
function createHarness(changes: { maxQueued?: number; serviceMs?: number; capacity?: number } = {}) {
    const harness = {
        free: 0,
        nowMs: 0,
        borrowing: new Set<string>(),
        log: [] as string[],
        queue: undefined as unknown as ServiceQueue<number>,
        send(name: string, urgency = Urgency.Normal, deadlineAtMs = 10_000, team = "t") {
            harness.queue.admit({
                team,
                urgency,
                deadlineAtMs,
                queuedAtMs: harness.nowMs,
                admit: () => harness.log.push(`${name}:in`),
                refuse: reason => harness.log.push(`${name}:${reason}`),
            });
        },
    };
    harness.queue = new ServiceQueue({
        maxQueued: changes.maxQueued ?? 10,
        targetQueueMs: 100,
        tryAcquire: () => harness.free > 0 ? harness.free-- : undefined,
        getCapacity: () => changes.capacity ?? 1,
        estimateServiceMs: () => changes.serviceMs ?? 1,
        computeGuaranteedShareUse: team => harness.borrowing.has(team) ? 1 : 0,
        now: () => harness.nowMs,
    });
    return harness;
}

describe("ServiceQueue", () => {
    describe("when a target is free", () => {
        it("admits a request at once", () => {
            const harness = createHarness();
            harness.free = 1;
            harness.send("a");
            expect(harness.log).toEqual(["a:in"]);
        });
    });

    describe("when targets are busy", () => {
        it("refuses at once a request that can't meet its deadline", () => {
            const harness = createHarness({ serviceMs: 100 });
            harness.send("a", Urgency.Normal, 150);
            harness.send("b", Urgency.Normal, 150);
            expect(harness.log).toEqual([`b:${RefusalReason.DeadlineUnreachable}`]);
        });

        it("admits the most urgent request first", () => {
            const harness = createHarness();
            harness.send("low", Urgency.Low);
            harness.send("high", Urgency.High);
            harness.free = 1;
            harness.queue.admitWaiting();
            expect(harness.log).toEqual(["high:in"]);
        });

        it("refuses the least urgent request when the queue is full", () => {
            const harness = createHarness({ maxQueued: 1 });
            harness.send("low", Urgency.Low);
            harness.send("high", Urgency.High);
            harness.send("low2", Urgency.Low);
            expect(harness.log).toEqual([`low:${RefusalReason.DisplacedByUrgent}`, `low2:${RefusalReason.QueueFull}`]);
        });

        it("admits a team within its share before an urgent request of a team that borrows", () => {
            const harness = createHarness();
            harness.borrowing.add("greedy");
            harness.send("greedy", Urgency.Critical, 10_000, "greedy");
            harness.send("modest", Urgency.Low, 10_000, "modest");
            harness.free = 1;
            harness.queue.admitWaiting();
            expect(harness.log).toEqual(["modest:in"]);
        });

        it("admits the newest request first when the oldest has waited too long", () => {
            const harness = createHarness();
            harness.send("old");
            harness.nowMs = 101;
            harness.send("new");
            harness.free = 1;
            harness.queue.admitWaiting();
            expect(harness.log).toEqual(["new:in"]);
        });

        it("refuses a request that has waited past its deadline", () => {
            const harness = createHarness();
            harness.send("a", Urgency.Normal, 50);
            harness.nowMs = 60;
            harness.queue.admitWaiting();
            expect(harness.log).toEqual([`a:${RefusalReason.DeadlinePassed}`]);
        });
    });
});
