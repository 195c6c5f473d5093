import { describe, expect, it } from "@jest/globals";
import type { OperatorRecord, RecordCodec, StorePort } from "@sardinestage/describe-ports";
import { ReadOutcome, Topic, waitFor } from "@sardinestage/describe-ports";
import type { OperatorConfig } from "@sardinestage/describe-work";
import { MemoryStore, VirtualClock } from "@sardinestage/emulate-platform";
import { silentLogger } from "@sardinestage/log-events";
import { ConfigKeeper } from "./configKeeper.js";

/** Time within which a new configuration has to be applied, in milliseconds. */
const APPLY_MS = 4000;
/** Time that a read may take beyond its wait at the store, in milliseconds. */
const CALL_OVERHEAD_MS = 1000;

/** Decodes records that hold the version of a configuration in their first byte. */
const CODEC = {
    decodeOperator: (record: { value?: Uint8Array }): OperatorRecord => ({
        config: { version: record.value?.[0] ?? 0, queues: [] } as unknown as OperatorConfig,
    }),
} as unknown as RecordCodec;

function createKeeper() {
    const clock = new VirtualClock();
    const memory = new MemoryStore(clock, () => 0.5);
    let isNextSilent = false;
    const store: StorePort = {
        append: call => memory.append(call),
        readNewest: (topic, afterKey) => memory.readNewest(topic, afterKey),
        read: async (topic, from, waitMs) => {
            if (!isNextSilent) {
                return memory.read(topic, from, waitMs);
            }
            isNextSilent = false;
            await waitFor(clock, waitMs + CALL_OVERHEAD_MS);
            return { outcome: ReadOutcome.Failed, records: [], next: from };
        },
    };
    const keeper = new ConfigKeeper({
        store,
        codec: CODEC,
        clock,
        logger: silentLogger,
        onConfig: () => undefined,
    });
    const publish = async (version: number) => {
        const records = [{ key: "config", value: Uint8Array.of(version) }];
        void memory.append({ topic: Topic.Operator, records, timeoutMs: 1000 });
        await clock.runFor(50);
    };
    const silenceNextRead = () => isNextSilent = true;
    return { clock, keeper, publish, silenceNextRead };
}

describe("ConfigKeeper", () => {
    describe("when the connection of its read no longer answers", () => {
        it("still applies a confirmed configuration in time", async () => {
            const { clock, keeper, publish, silenceNextRead } = createKeeper();
            await publish(1);
            void keeper.run();
            await clock.runFor(100);
            expect(keeper.version).toBe(1);
            silenceNextRead();
            await publish(2);
            await clock.runFor(50);
            await publish(3);
            await clock.runFor(APPLY_MS);
            expect(keeper.version).toBe(3);
            keeper.close();
        });
    });
});
