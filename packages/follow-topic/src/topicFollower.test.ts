import { describe, expect, it } from "@jest/globals";
import { Topic } from "@sardinestage/describe-ports";
import { createRandom, MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
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
});
