import { describe, expect, it } from "@jest/globals";
import type { Candidate } from "@sardinestage/keep-term";
import { Followers } from "./followers.js";
import { listRelayVms } from "./listRelayVms.js";

function createCandidate(vm: string): Candidate {
    return { vm, incarnation: vm, host: vm, port: 1, strength: 1, domain: "here" };
}

function listNames(termHeldMs: number, draining: readonly string[], following: readonly string[]): string[] {
    const followers = new Followers();
    following.forEach(vm => followers.noteFollower(createCandidate(vm), 0, draining.includes(vm)));
    const members = ["self", "a", "b", "c"].map(createCandidate);
    const parts = { self: createCandidate("self"), followers, localCoordinator: { termHeldMs } };
    return listRelayVms(parts, members).map(candidate => candidate.vm).sort();
}

describe("listRelayVms", () => {
    describe("at the begin of a term", () => {
        it("keeps the members of before that haven't followed yet, so that their sessions aren't ended", () => {
            expect(listNames(100, [], ["a"])).toEqual(["a", "b", "c"]);
        });

        it("leaves out a VM that stops", () => {
            expect(listNames(100, ["a"], ["a", "b"])).toEqual(["b", "c"]);
        });
    });

    describe("later in a term", () => {
        it("lists the VMs that follow", () => {
            expect(listNames(20_000, [], ["a", "b"])).toEqual(["a", "b"]);
        });
    });
});
