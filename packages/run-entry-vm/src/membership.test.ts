import { describe, expect, it } from "@jest/globals";
import { MembershipInstallation } from "./testing/membershipInstallation.js";

/** Creates an installation in which the VM `first` coordinates and the others follow it. */
async function createInstallation(others: readonly string[]): Promise<MembershipInstallation> {
    const installation = new MembershipInstallation();
    installation.addVm("first", 1);
    await installation.clock.runFor(1000);
    others.forEach(vm => installation.addVm(vm, 1));
    await installation.clock.runFor(2000);
    return installation;
}

describe("Membership", () => {
    describe("when the coordinator is busy and answers in 700 ms", () => {
        it("goes on following it instead of timing out again and again", async () => {
            const installation = new MembershipInstallation();
            installation.addVm("first", 1);
            await installation.clock.runFor(1000);
            const others = ["a", "b", "c"].map(vm => installation.addVm(vm, 1));
            await installation.clock.runFor(2000);
            installation.answerMs.set("first", 700);
            await installation.clock.runFor(8000);
            expect(installation.coordinator).toBe("first");
            expect(installation.candidacies).toEqual(["first"]);
            expect(others.map(other => other.answerPeerQuery().heardMs < 1500)).toEqual([true, true, true]);
        });
    });

    describe("when a coordinator dies after an outage of the store but before it has recorded all its starts", () => {
        it("has its successor wait for tasks that may run unrecorded instead of starting them twice", async () => {
            const installation = await createInstallation(["a", "b"]);
            installation.withUnrecordedStarts.add("first");
            await installation.clock.runFor(600);
            installation.stopVm("first");
            await installation.clock.runFor(6000);
            expect(installation.hadUnrecordedStarts).toEqual([false, true]);
        });

        it("doesn't have the successor wait if all starts have been recorded since", async () => {
            const installation = new MembershipInstallation();
            installation.addVm("first", 1);
            await installation.clock.runFor(1000);
            ["a", "b"].forEach(vm => installation.addVm(vm, 1));
            installation.withUnrecordedStarts.add("first");
            await installation.clock.runFor(2000);
            installation.withUnrecordedStarts.delete("first");
            await installation.clock.runFor(600);
            installation.stopVm("first");
            await installation.clock.runFor(6000);
            expect(installation.hadUnrecordedStarts).toEqual([false, false]);
        });
    });

    describe("when a coordinator dies before it has learned which tasks its predecessor started unrecorded", () => {
        it("has the next coordinator wait as well", async () => {
            const installation = await createInstallation(["second"]);
            installation.withUnrecordedStarts.add("first");
            await installation.clock.runFor(600);
            installation.stopVm("first");
            while (installation.coordinator === undefined) {
                await installation.clock.runFor(10);
            }
            installation.stopVm("second");
            installation.addVm("third", 1);
            await installation.clock.runFor(6000);
            expect(installation.hadUnrecordedStarts).toEqual([false, true, true]);
        });
    });

    describe("when the store's answer to the append that won the term is lost", () => {
        it("doesn't take its own record for its predecessor's contact with the store", async () => {
            const installation = await createInstallation(["second"]);
            installation.withUnrecordedStarts.add("first");
            await installation.clock.runFor(600);
            installation.stopVm("first");
            installation.lostAnswers.add("second");
            while ((await installation.readTerm())?.holder?.vm === "first") {
                await installation.clock.runFor(10);
            }
            installation.lostAnswers.clear();
            await installation.clock.runFor(3000);
            expect(installation.hadUnrecordedStarts).toEqual([false, true]);
        });
    });

    describe("when the term couldn't be renewed for a while", () => {
        it("doesn't claim in a renewal that may take effect after unrecorded starts that all is recorded", async () => {
            const installation = new MembershipInstallation();
            installation.addVm("first", 1);
            await installation.clock.runFor(2000);
            expect((await installation.readTerm())?.hasUnrecordedStarts).toBe(false);
            installation.withoutStore.add("first");
            await installation.clock.runFor(1000);
            installation.withoutStore.delete("first");
            await installation.clock.runFor(600);
            expect((await installation.readTerm())?.hasUnrecordedStarts).toBe(true);
            await installation.clock.runFor(600);
            expect((await installation.readTerm())?.hasUnrecordedStarts).toBe(false);
        });
    });

    describe("when the coordinator is so busy that it reads the store's answers late", () => {
        it("isn't replaced as if it had lost the store", async () => {
            const installation = await createInstallation(["a", "b", "c"]);
            installation.readDelayMs.set("first", 1600);
            await installation.clock.runFor(20_000);
            expect(installation.candidacies).toEqual(["first"]);
        });
    });

    describe("when the store doesn't answer the coordinator", () => {
        it("is replaced within 3 s", async () => {
            const others = ["a", "b", "c"];
            const installation = await createInstallation(others);
            installation.withoutStore.add("first");
            await installation.clock.runFor(3000);
            expect(others).toContain(installation.coordinators.at(-1));
        });
    });

    describe("when one VM can't reach the coordinator that the others follow", () => {
        it("doesn't replace the coordinator, however long this lasts", async () => {
            const installation = await createInstallation(["a", "b", "c"]);
            installation.unanswered.add("late");
            installation.addVm("late", 1);
            await installation.clock.runFor(30_000);
            expect(installation.candidacies).toEqual(["first"]);
        });
    });

    describe("when no VM reaches a coordinator that renews its term", () => {
        it("replaces the coordinator after a while", async () => {
            const others = ["a", "b", "c"];
            const installation = await createInstallation(others);
            installation.answerMs.set("first", 60_000);
            await installation.clock.runFor(20_000);
            expect(others).toContain(installation.coordinator);
        });
    });

    describe("when a weak VM has won the term", () => {
        it("hands the term to a strong VM, so that the coordinator's load isn't on the smallest VM", async () => {
            const installation = new MembershipInstallation();
            installation.addVm("weak", 0.3);
            await installation.clock.runFor(1000);
            installation.addVm("also-weak", 0.3);
            installation.addVm("strong", 1.35);
            await installation.clock.runFor(6000);
            expect(installation.coordinator).toBe("strong");
            expect(installation.candidacies).toEqual(["weak", "strong"]);
        });

        it("keeps the term if no other VM is much stronger", async () => {
            const installation = new MembershipInstallation();
            installation.addVm("first", 1);
            await installation.clock.runFor(1000);
            installation.addVm("second", 1.2);
            await installation.clock.runFor(6000);
            expect(installation.candidacies).toEqual(["first"]);
        });
    });
});
