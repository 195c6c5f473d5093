import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import type { StorePort } from "@sardinestage/describe-ports";
import { AppendOutcome, systemClock } from "@sardinestage/describe-ports";
import type { CoordinatorReply } from "./coordinatorReply.js";
import { RecordDesk } from "./recordDesk.js";
import { SubmitOutcome } from "./submitOutcome.js";

const record = { key: "job", value: new Uint8Array([1]) };

/** A desk whose store and coordinator give the same answer to every call. */
function createDesk(stored: AppendOutcome, relayed: CoordinatorReply | undefined): RecordDesk {
    const store: StorePort = {
        append: () => Promise.resolve({ outcome: stored, offset: 0, end: 0 }),
        read: () => Promise.reject(new Error("The desk reads nothing.")),
        readNewest: () => Promise.reject(new Error("The desk reads nothing.")),
    };
    return new RecordDesk({
        store,
        line: { call: () => Promise.resolve(relayed) },
        clock: systemClock,
        metrics: new Metrics(),
    });
}

describe("RecordDesk", () => {
    describe("when the store takes the record", () => {
        it("says that it is accepted", async () => {
            expect(await createDesk(AppendOutcome.Appended, undefined).append(record)).toBe(SubmitOutcome.Accepted);
        });
    });

    describe("when the store refuses this VM", () => {
        it("accepts what the coordinator appended", async () => {
            const desk = createDesk(AppendOutcome.Refused, { outcome: AppendOutcome.Appended });
            expect(await desk.append(record)).toBe(SubmitOutcome.Accepted);
        });

        it("refuses when nothing was sent to the coordinator", async () => {
            const desk = createDesk(AppendOutcome.Refused, { isUnsent: true });
            expect(await desk.append(record)).toBe(SubmitOutcome.Refused);
        });

        it("refuses when the coordinator's store refused too", async () => {
            const desk = createDesk(AppendOutcome.Refused, { outcome: AppendOutcome.Refused });
            expect(await desk.append(record)).toBe(SubmitOutcome.Refused);
        });

        it("doesn't say that nothing was stored when a relaying peer got no answer", async () => {
            const desk = createDesk(AppendOutcome.Refused, { isUnsure: true });
            expect(await desk.append(record)).toBe(SubmitOutcome.Unknown);
        });

        it("doesn't say that nothing was stored when the coordinator didn't answer", async () => {
            const desk = createDesk(AppendOutcome.Refused, undefined);
            expect(await desk.append(record)).toBe(SubmitOutcome.Unknown);
        });
    });

    describe("when the store doesn't answer this VM", () => {
        it("doesn't refuse although the coordinator's store refused", async () => {
            const desk = createDesk(AppendOutcome.Unknown, { outcome: AppendOutcome.Refused });
            expect(await desk.append(record)).toBe(SubmitOutcome.Unknown);
        });
    });
});
