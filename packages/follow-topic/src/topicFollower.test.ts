import { describe, expect, it } from "@jest/globals";
import type { StorePort } from "@sardinestage/describe-ports";
import { ReadOutcome, Topic } from "@sardinestage/describe-ports";
import { createRandom, MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
import { silentLogger } from "@sardinestage/log-events";
import { TopicFollower } from "./topicFollower.js";

describe("TopicFollower", () => {
    describe("when a record can't be handled", () => {
        it("skips that record alone, and goes on following", async () => {
            const clock = new VirtualClock();
            const store = new MemoryStore(clock, createRandom(1));
            const taken: string[] = [];
            const logged: string[] = [];
            const log = (event: string) => logged.push(event);
            const follower = new TopicFollower({
                store,
                topic: Topic.Workers,
                name: "workers",
                clock,
                logger: { info: log, warn: log, error: log },
                waitMs: 100,
                pauseMs: 10,
                takeRecord: ({ key }) => {
                    if (key === "odd") {
                        throw new RangeError("The record is nested too deeply.");
                    }
                    taken.push(key);
                },
            });
            const append = (key: string) =>
                store.append({ topic: Topic.Workers, records: [{ key, value: Buffer.from([1]) }], timeoutMs: 1000 });
            void append("odd");
            void append("first");
            await clock.runFor(100);
            void follower.run();
            await clock.runFor(500);
            void append("odd");
            void append("second");
            await clock.runFor(500);
            follower.close();
            expect(taken).toEqual(["first", "second"]);
            expect(logged).toEqual(["record-failed", "record-failed"]);
        });
    });

    describe("when the store has forgotten the records between two reads", () => {
        it("reports the key that was withdrawn meanwhile as removed", async () => {
            const clock = new VirtualClock();
            const newest = new Map([["kept", 0], ["withdrawn", 1]]);
            let isForgotten = false;
            const store: StorePort = {
                append: () => Promise.reject(new Error("unused")),
                read: (_topic, from) => {
                    const outcome = isForgotten ? ReadOutcome.Expired : ReadOutcome.Read;
                    return Promise.resolve({ outcome, records: [], next: from });
                },
                readNewest: () =>
                    Promise.resolve({
                        succeeded: true,
                        records: [...newest].map(([key, offset]) => ({ key, value: Buffer.from([1]), offset })),
                        hasMore: false,
                        end: 2,
                    }),
            };
            const known = new Set<string>();
            const follower = new TopicFollower({
                store,
                topic: Topic.Workers,
                name: "workers",
                clock,
                logger: silentLogger,
                waitMs: 100,
                pauseMs: 10,
                takeRecord: ({ key, value }) => value === undefined ? known.delete(key) : known.add(key),
            });
            void follower.run();
            await clock.runFor(50);
            expect([...known]).toEqual(["kept", "withdrawn"]);
            newest.delete("withdrawn");
            isForgotten = true;
            await clock.runFor(50);
            follower.close();
            expect([...known]).toEqual(["kept"]);
        });
    });
});
