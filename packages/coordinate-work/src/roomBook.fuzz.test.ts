import { describe, expect, it } from "@jest/globals";
import { createStep } from "@sardinestage/emulate-platform";
import type { WorkerRoom } from "@sardinestage/plan-starts";
import { takeRoom } from "@sardinestage/plan-starts";
import type { Task } from "@sardinestage/track-jobs";
import { Job, openOccurrence } from "@sardinestage/track-jobs";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { buildRooms } from "./buildRooms.js";
import { RoomBook } from "./roomBook.js";
import { createQueue } from "./testing/createQueue.js";
import { createTrackedWorker } from "./testing/createTrackedWorker.js";
import type { TrackedWorker } from "./trackedWorker.js";

const SEEDS = Array.from({ length: 8 }, (_unused, index) => 20261204 + index);
const EVENTS = 1000;
const WORKERS = 6;
const CAPACITY = { cpuMillis: 16_000, memoryMb: 64_000, accelerators: 1 };
/** Figures may be this old, in milliseconds. */
const LONGEST_KEPT_MS = 200;

function createTasks(): Task[] {
    const steps = [
        createStep({ taskCount: 10 }),
        createStep({ taskCount: 10, fillsLeftover: true }),
        createStep({ taskCount: 10, longRunning: true, tailTargetMs: 1000 }),
    ];
    const job = new Job("job", { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 }, createQueue(), 0);
    openOccurrence(job, 0);
    return [...job.listTasks()];
}

/** Compares what can be compared as text: the tasks' steps hold on to everything. */
function describeRooms(rooms: readonly WorkerRoom[]): string {
    return JSON.stringify(rooms.map(room => ({
        ...room,
        servers: room.servers.map(({ step, headroom }) => ({ step: step.number, headroom })),
    })));
}

describe("RoomBook", () => {
    describe.each(SEEDS)("in a course of events with seed %d", seed => {
        it("lists what building all rooms anew does", () => {
            const generator = xoroshiro128plus(seed);
            const pick = (limit: number) => (generator.next() >>> 0) % limit;
            const links = Array.from(
                { length: WORKERS },
                (_unused, index) => createTrackedWorker(`w${index}`, CAPACITY),
            );
            const startsLeft = new Map(links.map(link => [link, 1000]));
            const tasks = createTasks();
            const book = new RoomBook();
            let nowMs = 0;
            for (let event = 0; event < EVENTS; event++) {
                const link = links[pick(WORKERS)];
                const task = tasks[pick(tasks.length)];
                const choice = pick(8);
                if (choice <= 2) {
                    link.tasks.add(task);
                }
                else if (choice <= 4) {
                    link.tasks.delete(task);
                }
                else if (choice === 5) {
                    const memoryMb = 32_000 + pick(32_000);
                    link.entry = { ...link.entry, capacity: { ...link.entry.capacity, memoryMb } };
                }
                else if (choice === 6) {
                    startsLeft.set(link, pick(3));
                }
                else {
                    nowMs += pick(50);
                }
                const getStartsLeft = (each: TrackedWorker) => startsLeft.get(each) ?? 0;
                const rooms = book.updateRooms(links, nowMs, getStartsLeft, () => 2);
                expect(describeRooms(rooms)).toBe(describeRooms(buildRooms(links, getStartsLeft, () => 2)));
                // A round takes from the rooms, and what it takes becomes tasks of the workers.
                const started = rooms.filter(() => pick(20) === 0);
                for (const room of started) {
                    takeRoom(room, task.step, 2);
                    links.find(each => each.entry.id === room.workerId)?.tasks.add(task);
                }
            }
        });
    });

    describe("when only what is expected of serving tasks has changed", () => {
        it("tells it once its figures are too old", () => {
            const link = createTrackedWorker("w", CAPACITY);
            createTasks().slice(-1).forEach(task => link.tasks.add(task));
            const book = new RoomBook();
            const readHeadroom = (nowMs: number, headroom: number) =>
                book.updateRooms([link], nowMs, () => 1, () => headroom)[0].servers[0].headroom;
            expect(readHeadroom(0, 2)).toBe(2);
            expect(readHeadroom(LONGEST_KEPT_MS, 3)).toBe(2);
            expect(readHeadroom(LONGEST_KEPT_MS + 1, 3)).toBe(3);
        });
    });
});
