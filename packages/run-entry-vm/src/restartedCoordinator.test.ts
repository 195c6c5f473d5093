import { describe, expect, it } from "@jest/globals";
import { createRandom } from "@sardinestage/emulate-platform";
import { FrameKind } from "@sardinestage/exchange-frames";
import { TakeoverHarness } from "./testing/takeoverHarness.js";

const ID = "5c0e7a21d94b36f8";
const CALLER_TIMEOUT_MS = 3000;
/** Time in which VMs choose a coordinator and its takeover ends, in milliseconds. */
const TAKEOVER_MS = 8000;
/** Time in which a follower tells a restarted VM which term is the newest, in milliseconds. */
const FOLLOW_MS = 2000;

/** Lists the calls to the coordinator that VMs have made so far. */
function listCalls({ requests }: TakeoverHarness): { from: string; to: string }[] {
    return requests.filter(({ kind }) => kind === FrameKind.CallCoordinator).map(({ from, to }) => ({ from, to }));
}

/** Creates two VMs, of which `first` coordinates. */
async function createHarness(): Promise<TakeoverHarness> {
    const harness = new TakeoverHarness(createRandom(1), () => 1000);
    harness.startVm("first");
    await harness.clock.runFor(TAKEOVER_MS);
    harness.startVm("second");
    await harness.clock.runFor(FOLLOW_MS);
    expect(harness.coordinator).toBe("first");
    return harness;
}

// Guards against calls that a VM passed on to itself again and again, until it had no processor left for callers.
describe("A VM whose former process coordinated", () => {
    describe("when it is asked for a job while no later term can be won", () => {
        it("makes no call to itself, and answers that the state is unavailable", async () => {
            const harness = await createHarness();
            harness.store.faults.isDown = true;
            harness.stopVm("first");
            harness.startVm("first");
            await harness.clock.runFor(FOLLOW_MS);
            const asked = harness.getJobService("first")?.getState(ID, CALLER_TIMEOUT_MS);
            await harness.clock.runFor(CALLER_TIMEOUT_MS);
            expect(await asked).toEqual({ isUnavailable: true });
            expect(listCalls(harness).filter(({ from, to }) => from === to)).toEqual([]);
        });
    });

    describe("when another VM asks it for a job meanwhile", () => {
        it("doesn't pass the call on, to itself or back", async () => {
            const harness = await createHarness();
            harness.store.faults.isDown = true;
            harness.stopVm("first");
            harness.startVm("first");
            await harness.clock.runFor(FOLLOW_MS);
            const before = listCalls(harness).length;
            void harness.getJobService("second")?.getState(ID, CALLER_TIMEOUT_MS);
            await harness.clock.runFor(CALLER_TIMEOUT_MS);
            expect(listCalls(harness).slice(before)).toEqual([{ from: "second", to: "first" }]);
        });
    });

    describe("when the store is there", () => {
        it("is replaced as soon as if its address refused connections", async () => {
            const harness = await createHarness();
            harness.stopVm("first");
            harness.startVm("first");
            await harness.clock.runFor(FOLLOW_MS);
            expect(harness.coordinator).toBeDefined();
        });
    });
});
