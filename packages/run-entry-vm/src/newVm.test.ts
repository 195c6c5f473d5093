import { describe, expect, it } from "@jest/globals";
import { MembershipInstallation } from "./testing/membershipInstallation.js";

describe("Membership", () => {
    describe("when a weak VM has just started and doesn't know the other members", () => {
        it("leaves the term to a strong VM if the coordinator dies soon after its takeover", async () => {
            const installation = new MembershipInstallation();
            installation.addVm("first", 1.35);
            await installation.clock.runFor(1000);
            ["a", "b", "c"].forEach(vm => installation.addVm(vm, 1.35));
            await installation.clock.runFor(2000);
            installation.stopVm("first");
            await installation.clock.runFor(4000);
            const second = installation.coordinator ?? "";
            installation.stopVm(second);
            installation.addVm("weak", 0.15);
            await installation.clock.runFor(6000);
            expect(["a", "b", "c"]).toContain(second);
            expect(["a", "b", "c"]).toContain(installation.coordinator);
            expect(installation.candidacies).not.toContain("weak");
        });

        it("leaves the term to a strong VM if the coordinator has had it for long", async () => {
            const installation = new MembershipInstallation();
            installation.addVm("first", 1.35);
            await installation.clock.runFor(1000);
            ["a", "b", "c"].forEach(vm => installation.addVm(vm, 1.35));
            await installation.clock.runFor(15_000);
            installation.stopVm("first");
            installation.addVm("weak", 0.15);
            await installation.clock.runFor(6000);
            expect(["a", "b", "c"]).toContain(installation.coordinator);
            expect(installation.candidacies).not.toContain("weak");
        });

        it("takes the term if no other VM does", async () => {
            const installation = new MembershipInstallation();
            installation.addVm("first", 1.35);
            await installation.clock.runFor(15_000);
            installation.stopVm("first");
            installation.addVm("weak", 0.15);
            await installation.clock.runFor(6000);
            expect(installation.coordinator).toBe("weak");
        });
    });
});
