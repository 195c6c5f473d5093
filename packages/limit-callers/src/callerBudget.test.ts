import { beforeEach, describe, expect, it } from "@jest/globals";
import { CallerBudget } from "./callerBudget.js";
import type { ConnectionAccount } from "./connectionAccount.js";

const limits = {
    maxConnections: 4,
    maxHeldBytes: 1000,
    maxOpenRequests: 8,
    maxPipelinedRequests: 2,
    bodyProgressMs: 5000,
};

describe("CallerBudget", () => {
    let budget: CallerBudget;

    beforeEach(() => {
        budget = new CallerBudget(limits);
    });

    function openAccounts(...addresses: string[]): ConnectionAccount[] {
        return addresses.map(address => budget.openAccount(address));
    }

    /** Counts how many requests of these bytes an account is admitted. */
    function countAdmitted(account: ConnectionAccount, bytes: number, tries: number): number {
        return Array.from({ length: tries }, () => budget.admitRequest(account, bytes)).filter(Boolean).length;
    }

    describe("when there are too many connections", () => {
        it("closes an idle connection of the address that has the most, not the one that comes next", () => {
            const [, busy, idle] = openAccounts("ordinary", "crowd", "crowd", "crowd");
            budget.holdBytes(busy, 1);
            expect(budget.findSurplusConnection()).toBeUndefined();
            openAccounts("newcomer");
            expect(budget.findSurplusConnection()).toBe(idle);
        });

        it("closes the connection without progress for the longest if each has its own address", () => {
            const [first, second] = openAccounts("a", "b", "c", "d", "e");
            budget.noteProgress(first);
            expect(budget.findSurplusConnection()).toBe(second);
        });

        it("closes the newcomer if all other connections of its address are in use", () => {
            const accounts = openAccounts("a", "a", "a", "a", "a");
            accounts.slice(0, 4).forEach(account => budget.admitRequest(account, 0));
            expect(budget.findSurplusConnection()).toBe(accounts[4]);
        });
    });

    describe("when too many bytes are held", () => {
        it("closes a connection of the address that holds the most in all, though another single one holds more", () => {
            const [ordinary, first, second] = openAccounts("ordinary", "crowd", "crowd");
            budget.holdBytes(ordinary, 450);
            budget.holdBytes(first, 300);
            expect(budget.findLargestHolder()).toBeUndefined();
            budget.holdBytes(second, 300);
            expect(budget.findLargestHolder()).toBe(first);
        });

        it("closes one that stands still before one that holds more and makes progress", () => {
            const [stalled, ordinary] = openAccounts("crowd", "ordinary");
            budget.holdBytes(stalled, 400);
            budget.updateClock(1000);
            budget.noteProgress(ordinary);
            budget.holdBytes(ordinary, 700);
            expect(budget.findLargestHolder()).toBe(stalled);
        });

        it("closes none if all bytes belong to admitted requests, which closing wouldn't free", () => {
            const [account] = openAccounts("a");
            budget.admitRequest(account, 1000);
            const [other] = openAccounts("b");
            expect(budget.findLargestHolder()).toBeUndefined();
            budget.holdBytes(other, 1);
            expect(budget.findLargestHolder()).toBe(other);
        });
    });

    describe("when requests are admitted", () => {
        it("leaves half of the requests to others however many one address sends", () => {
            const [crowd, ordinary] = openAccounts("crowd", "ordinary");
            expect(countAdmitted(crowd, 0, 100)).toBe(4);
            expect(countAdmitted(ordinary, 0, 100)).toBe(2);
        });

        it("leaves half of the bytes to others", () => {
            const [crowd, ordinary] = openAccounts("crowd", "ordinary");
            expect(countAdmitted(crowd, 125, 100)).toBe(4);
            expect(budget.admitRequest(ordinary, 500)).toBe(true);
        });

        it("admits a single request that needs all bytes", () => {
            expect(budget.admitRequest(openAccounts("a")[0], 1000)).toBe(true);
        });

        it("counts an admitted request until it is released, though its connection is closed", () => {
            const [account] = openAccounts("a");
            budget.holdBytes(account, 300);
            budget.admitRequest(account, 500);
            budget.closeAccount(account);
            budget.holdBytes(account, -300);
            expect(budget.getUsage()).toEqual({ connections: 0, heldBytes: 500, openRequests: 1 });
            budget.releaseRequest(account, 500);
            expect(budget.getUsage()).toEqual({ connections: 0, heldBytes: 0, openRequests: 0 });
        });
    });

    it("calls a connection silent after the time without progress, by the server's own steps", () => {
        const [account] = openAccounts("a");
        budget.updateClock(4999);
        expect(budget.isSilent(account, 5000)).toBe(false);
        budget.updateClock(1);
        expect(budget.isSilent(account, 5000)).toBe(true);
        budget.noteProgress(account);
        expect(budget.isSilent(account, 5000)).toBe(false);
    });
});
