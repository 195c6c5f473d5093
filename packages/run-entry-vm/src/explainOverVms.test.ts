import { describe, expect, it } from "@jest/globals";
import { CoordinatorCallKind } from "@sardinestage/accept-jobs";
import { ExplainOutcome } from "@sardinestage/describe-work";
import { createRandom } from "@sardinestage/emulate-platform";
import { TakeoverHarness } from "./testing/takeoverHarness.js";

/** Time in which VMs choose a coordinator and its takeover ends, in milliseconds. */
const TAKEOVER_MS = 8000;
const FOLLOW_MS = 2000;
const ANSWER_MS = 500;

describe("A question about a placement", () => {
    // Guards against an answer that only the coordinator's own VM can give.
    it("is passed on to the coordinator by a VM that doesn't coordinate", async () => {
        const harness = new TakeoverHarness(createRandom(1), () => 1000);
        harness.startVm("first");
        await harness.clock.runFor(TAKEOVER_MS);
        harness.startVm("second");
        await harness.clock.runFor(FOLLOW_MS);
        expect(harness.coordinator).toBe("first");
        const asked = harness.callOver("second", { kind: CoordinatorCallKind.Explain, id: "none" });
        await harness.clock.runFor(ANSWER_MS);
        expect((await asked)?.explanation?.outcome).toBe(ExplainOutcome.UnknownJob);
    });
});
