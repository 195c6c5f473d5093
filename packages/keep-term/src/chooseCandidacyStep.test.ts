import { describe, expect, it } from "@jest/globals";
import { CandidacyStep } from "./candidacyStep.js";
import { chooseCandidacyStep } from "./chooseCandidacyStep.js";
import type { CoordinatorView } from "./coordinatorView.js";

const RULES = {
    silenceMs: 1000,
    storeSilenceMs: 1500,
    renewalSilenceMs: 2500,
    freshRenewalMs: 1200,
    unreachableMs: 4000,
    minFollowerShare: 0.25,
    recentTakeoverMs: 10_000,
    recentTakeoverFactor: 2,
};
const HEALTHY: CoordinatorView = {
    isKnown: true,
    silentMs: 100,
    isConnectionRefused: false,
    isLeaving: false,
    storeSilentMs: 0,
    isStoreAvailable: true,
    peers: 3,
    peersAnswered: 3,
    isReachableByPeer: true,
    renewalAgeMs: 500,
    followers: 0,
    members: 4,
    termAgeMs: 60_000,
};

describe("chooseCandidacyStep", () => {
    describe("when the coordinator works normally", () => {
        it("follows it", () => {
            expect(chooseCandidacyStep(HEALTHY, RULES)).toBe(CandidacyStep.Follow);
        });
    });

    describe("when the coordinator doesn't answer", () => {
        it("campaigns if the coordinator answers no peer either", () => {
            const view = { ...HEALTHY, silentMs: 1200, isReachableByPeer: false, renewalAgeMs: 1300 };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Campaign);
        });

        it("doesn't replace a busy coordinator that renews its term", () => {
            const view = { ...HEALTHY, silentMs: 2000, isReachableByPeer: false, renewalAgeMs: 70 };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Follow);
        });

        it("doesn't replace a renewing coordinator with followers, however long this process can't reach it", () => {
            const view = { ...HEALTHY, silentMs: 60_000, isReachableByPeer: false, renewalAgeMs: 70, followers: 1 };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Follow);
        });

        it("campaigns if a renewing coordinator has lost almost all of its followers", () => {
            const view = {
                ...HEALTHY,
                silentMs: 60_000,
                isReachableByPeer: false,
                renewalAgeMs: 70,
                followers: 1,
                members: 9,
            };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Campaign);
        });

        it("campaigns if a renewing coordinator hasn't answered anyone for a long time", () => {
            const view = { ...HEALTHY, silentMs: 4100, isReachableByPeer: false, renewalAgeMs: 70 };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Campaign);
        });

        it("allows twice the time to a coordinator that took over recently", () => {
            const recent = { ...HEALTHY, isReachableByPeer: false, termAgeMs: 3000 };
            const busy = { ...recent, silentMs: 2300, renewalAgeMs: 1600 };
            expect(chooseCandidacyStep(busy, RULES)).toBe(CandidacyStep.Follow);
            expect(chooseCandidacyStep({ ...busy, renewalAgeMs: 2500 }, RULES)).toBe(CandidacyStep.Campaign);
            expect(chooseCandidacyStep({ ...busy, isConnectionRefused: true }, RULES)).toBe(CandidacyStep.Campaign);
        });

        it("sends calls through a peer that reaches the coordinator", () => {
            expect(chooseCandidacyStep({ ...HEALTHY, silentMs: 1200 }, RULES)).toBe(CandidacyStep.Relay);
        });

        it("follows a renewing coordinator if this process itself reaches no peer", () => {
            const isolated = { ...HEALTHY, silentMs: 1200, isReachableByPeer: false, peersAnswered: 0 };
            expect(chooseCandidacyStep(isolated, RULES)).toBe(CandidacyStep.Follow);
            expect(chooseCandidacyStep({ ...isolated, renewalAgeMs: 3000 }, RULES)).toBe(CandidacyStep.Campaign);
        });
    });

    describe("when the coordinator's process has ended", () => {
        it("campaigns immediately", () => {
            const view = { ...HEALTHY, isConnectionRefused: true, isReachableByPeer: false, peersAnswered: 0 };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Campaign);
        });
    });

    describe("when the coordinator can't reach the store", () => {
        it("campaigns if the store answers this process", () => {
            const view = { ...HEALTHY, storeSilentMs: 2000, renewalAgeMs: 2500 };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Campaign);
        });

        it("follows if the store shows recent renewals, since the coordinator only processes answers late", () => {
            const view = { ...HEALTHY, storeSilentMs: 2000, renewalAgeMs: 120 };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Follow);
        });

        it("follows or relays, but doesn't campaign, if the store doesn't answer this process either", () => {
            const view = { ...HEALTHY, storeSilentMs: 2000, isStoreAvailable: false };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Follow);
            expect(chooseCandidacyStep({ ...view, silentMs: 1200 }, RULES)).toBe(CandidacyStep.Relay);
        });

        it("doesn't campaign if the store doesn't answer and no peer reaches the coordinator", () => {
            const view = { ...HEALTHY, storeSilentMs: 2000, isStoreAvailable: false, isReachableByPeer: false };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Follow);
        });
    });
});
