import { describe, expect, it } from "@jest/globals";
import { MembershipInstallation } from "./testing/membershipInstallation.js";

/** Time that a restarted installation may take to find that the last coordinator is gone and to replace it. */
const MAX_TAKEOVER_MS = 2500;

// Guards against VMs that take what they don't know for a reason to wait.
describe("Membership", () => {
    describe("when all VMs lost power, and all but the coordinator's are back", () => {
        it.each([2000, 15_000])("has a coordinator soon, %i ms after the last takeover", async termLengthMs => {
            const installation = new MembershipInstallation();
            installation.addVm("first", 1.35);
            await installation.clock.runFor(1000);
            ["a", "b", "c"].forEach(vm => installation.addVm(vm, 1.35));
            await installation.clock.runFor(termLengthMs);
            ["first", "a", "b", "c"].forEach(vm => installation.stopVm(vm));
            await installation.clock.runFor(1500);
            ["a2", "b2", "c2"].forEach(vm => installation.addVm(vm, 1.35));
            await installation.clock.runFor(MAX_TAKEOVER_MS);
            expect(["a2", "b2", "c2"]).toContain(installation.coordinator);
        });
    });
});
