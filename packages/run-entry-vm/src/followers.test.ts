import { describe, expect, it } from "@jest/globals";
import type { Candidate } from "@sardinestage/keep-term";
import { Followers } from "./followers.js";

function createCandidate(vm: string, incarnation = vm): Candidate {
    return { vm, incarnation, host: "host", port: 1, strength: 1 };
}

describe("Followers", () => {
    describe("while the same VMs follow", () => {
        it("keeps its version, so that the list isn't sent with each reply", () => {
            const followers = new Followers();
            followers.noteFollower(createCandidate("a"), 0);
            followers.noteFollower(createCandidate("b"), 0);
            const { version } = followers;
            followers.noteFollower(createCandidate("a"), 250);
            followers.noteFollower(createCandidate("b"), 250);
            followers.dropSilent(250);
            expect(followers.version).toBe(version);
        });
    });

    describe("when the VMs change", () => {
        it("changes its version for each VM that joins, restarts or disappears", () => {
            const followers = new Followers();
            const versions = new Set<number>();
            followers.noteFollower(createCandidate("a"), 0);
            versions.add(followers.version);
            followers.noteFollower(createCandidate("b"), 0);
            versions.add(followers.version);
            followers.noteFollower(createCandidate("a", "restarted"), 5000);
            versions.add(followers.version);
            followers.dropSilent(9000);
            expect(followers.list().map(({ vm }) => vm)).toEqual(["a"]);
            versions.add(followers.version);
            expect(versions.size).toBe(4);
        });
    });
});
