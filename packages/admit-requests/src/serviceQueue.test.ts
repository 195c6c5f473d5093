import { describe, expect, it } from "@jest/globals";
import { Urgency } from "@sardinestage/types";
import { RefusalReason } from "./refusalReason.js";
import { ServiceQueue } from "./serviceQueue.js";

/** A queue over a settable number of free targets and a settable clock; writes down what becomes of each request. */
function createBench(changes: { maxQueued?: number; serviceMs?: number; capacity?: number } = {}) {
    const bench = {
        free: 0,
        nowMs: 0,
        borrowing: new Set<string>(),
        log: [] as string[],
        queue: undefined as unknown as ServiceQueue<number>,
        send(name: string, urgency = Urgency.Normal, deadlineAtMs = 10_000, team = "t") {
            bench.queue.admit({
                team,
                urgency,
                deadlineAtMs,
                queuedAtMs: bench.nowMs,
                admit: () => bench.log.push(`${name}:in`),
                refuse: reason => bench.log.push(`${name}:${reason}`),
            });
        },
    };
    bench.queue = new ServiceQueue({
        maxQueued: changes.maxQueued ?? 10,
        targetQueueMs: 100,
        tryAcquire: () => bench.free > 0 ? bench.free-- : undefined,
        getCapacity: () => changes.capacity ?? 1,
        estimateServiceMs: () => changes.serviceMs ?? 1,
        computeTeamFill: team => bench.borrowing.has(team) ? 1 : 0,
        now: () => bench.nowMs,
    });
    return bench;
}

describe("ServiceQueue", () => {
    describe("when a target is free", () => {
        it("lets a request in at once", () => {
            const bench = createBench();
            bench.free = 1;
            bench.send("a");
            expect(bench.log).toEqual(["a:in"]);
        });
    });

    describe("when targets are busy", () => {
        it("refuses at once what can't make its deadline", () => {
            const bench = createBench({ serviceMs: 100 });
            bench.send("a", Urgency.Normal, 150);
            bench.send("b", Urgency.Normal, 150);
            expect(bench.log).toEqual([`b:${RefusalReason.DeadlineUnreachable}`]);
        });

        it("lets the most urgent in first", () => {
            const bench = createBench();
            bench.send("low", Urgency.Low);
            bench.send("high", Urgency.High);
            bench.free = 1;
            bench.queue.admitWaiting();
            expect(bench.log).toEqual(["high:in"]);
        });

        it("displaces the least urgent when it is full", () => {
            const bench = createBench({ maxQueued: 1 });
            bench.send("low", Urgency.Low);
            bench.send("high", Urgency.High);
            bench.send("low2", Urgency.Low);
            expect(bench.log).toEqual([`low:${RefusalReason.DisplacedByUrgent}`, `low2:${RefusalReason.QueueFull}`]);
        });

        it("serves a team within its share before an urgent one that borrows", () => {
            const bench = createBench();
            bench.borrowing.add("greedy");
            bench.send("greedy", Urgency.Critical, 10_000, "greedy");
            bench.send("modest", Urgency.Low, 10_000, "modest");
            bench.free = 1;
            bench.queue.admitWaiting();
            expect(bench.log).toEqual(["modest:in"]);
        });

        it("serves the newest first once the wait is over its target", () => {
            const bench = createBench();
            bench.send("old");
            bench.nowMs = 101;
            bench.send("new");
            bench.free = 1;
            bench.queue.admitWaiting();
            expect(bench.log).toEqual(["new:in"]);
        });

        it("refuses what has waited past its deadline", () => {
            const bench = createBench();
            bench.send("a", Urgency.Normal, 50);
            bench.nowMs = 60;
            bench.queue.admitWaiting();
            expect(bench.log).toEqual([`a:${RefusalReason.DeadlinePassed}`]);
        });
    });
});
