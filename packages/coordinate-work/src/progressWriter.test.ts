import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import type { StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome } from "@sardinestage/describe-ports";
import { VirtualClock } from "@sardinestage/emulate-platform";
import { silentLogger } from "@sardinestage/log-events";
import type { CoordinatorParts } from "./coordinatorParts.js";
import { ProgressWriter } from "./progressWriter.js";

/**
 * Creates a writer whose store refuses appends until it is restored.
 *
 * @param renewalAgeMs Time since the last renewal of the term, in milliseconds.
 */
function createWriter(renewalAgeMs: number) {
    const clock = new VirtualClock();
    let outcome = AppendOutcome.Refused;
    const store = {
        append: () => Promise.resolve({ outcome, offset: 0, end: 0 }),
    } as unknown as StorePort;
    const restoreStore = () => outcome = AppendOutcome.Appended;
    const writer = new ProgressWriter({
        clock,
        store,
        term: 1,
        getTermRenewalAge: () => renewalAgeMs,
        getLoopDelay: () => 0,
        onTermLost: () => undefined,
        logger: silentLogger,
        metrics: new Metrics(),
    } as unknown as CoordinatorParts);
    let starts = 0;
    writer.schedule("job", () => Uint8Array.of(1));
    writer.runWhenRecorded(() => starts++, true);
    return { clock, writer, restoreStore, getStarts: () => starts };
}

describe("ProgressWriter", () => {
    describe("when the store refuses appends for long", () => {
        it("starts nothing unrecorded while the term is renewed, since a successor would start it again", async () => {
            const { clock, writer, getStarts } = createWriter(400);
            await clock.runFor(9000);
            expect(getStarts()).toBe(0);
            writer.close();
        });

        it("starts work unrecorded once the term isn't renewed either", async () => {
            const { clock, writer, getStarts } = createWriter(6000);
            await clock.runFor(9000);
            expect(getStarts()).toBe(1);
            writer.close();
        });

        it("has unrecorded starts until their records are written", async () => {
            const { clock, writer, restoreStore } = createWriter(6000);
            await clock.runFor(4000);
            expect(writer.hasUnrecordedStarts).toBe(false);
            await clock.runFor(2000);
            expect(writer.hasUnrecordedStarts).toBe(true);
            restoreStore();
            await clock.runFor(1000);
            expect(writer.hasUnrecordedStarts).toBe(false);
        });
    });
});
