import { describe, expect, it } from "@jest/globals";
import { MembershipInstallation } from "./testing/membershipInstallation.js";

/** An installation is without a coordinator for so long at most after the last one has gone, in milliseconds. */
const MAX_GAP_MS = 2500;
/** An outage that is longer than the rest of the gap leaves this much for the takeover, in milliseconds. */
const MIN_TAKEOVER_MS = 1500;

// Guards against VMs that take what they don't know for a reason to wait.
describe("Membership", () => {
    describe("when all VMs lost power, and all but the coordinator's are back", () => {
        it.each([
            { termLengthMs: 2000, offMs: 100 },
            { termLengthMs: 2000, offMs: 1000 },
            { termLengthMs: 2000, offMs: 1500 },
            { termLengthMs: 15_000, offMs: 100 },
            { termLengthMs: 15_000, offMs: 1500 },
        ])("has a coordinator soon: term of $termLengthMs ms, off for $offMs ms", async ({ termLengthMs, offMs }) => {
            const installation = new MembershipInstallation();
            installation.addVm("first", 1.35);
            await installation.clock.runFor(1000);
            ["a", "b", "c"].forEach(vm => installation.addVm(vm, 1.35));
            await installation.clock.runFor(termLengthMs);
            ["first", "a", "b", "c"].forEach(vm => installation.stopVm(vm));
            await installation.clock.runFor(offMs);
            ["a2", "b2", "c2"].forEach(vm => installation.addVm(vm, 1.35));
            await installation.clock.runFor(Math.max(MIN_TAKEOVER_MS, MAX_GAP_MS - offMs));
            expect(["a2", "b2", "c2"]).toContain(installation.coordinator);
        });
    });
});
