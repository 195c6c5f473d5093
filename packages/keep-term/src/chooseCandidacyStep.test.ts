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
    followedShare: 0.25,
    youngTermMs: 10_000,
    youngTermPatience: 2,
};
const WELL: CoordinatorView = {
    isKnown: true,
    silentMs: 100,
    isRefused: false,
    isLeaving: false,
    storeSilentMs: 0,
    hasStore: true,
    peers: 3,
    peersAnswered: 3,
    isHeardByPeer: true,
    renewalAgeMs: 500,
    followers: 0,
    members: 4,
    termAgeMs: 60_000,
};

describe("chooseCandidacyStep", () => {
    describe("when the coordinator is well", () => {
        it("follows it", () => {
            expect(chooseCandidacyStep(WELL, RULES)).toBe(CandidacyStep.Follow);
        });
    });

    describe("when the coordinator is silent", () => {
        it("stands if no peer hears it either", () => {
            const view = { ...WELL, silentMs: 1200, isHeardByPeer: false, renewalAgeMs: 1300 };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Stand);
        });

        it("doesn't depose a busy coordinator that renews its term", () => {
            const view = { ...WELL, silentMs: 2000, isHeardByPeer: false, renewalAgeMs: 70 };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Follow);
        });

        it("doesn't depose one that renews and that others follow, however long it is unreached from here", () => {
            const view = { ...WELL, silentMs: 60_000, isHeardByPeer: false, renewalAgeMs: 70, followers: 1 };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Follow);
        });

        it("stands if one that renews has lost almost all that followed it", () => {
            const view = {
                ...WELL,
                silentMs: 60_000,
                isHeardByPeer: false,
                renewalAgeMs: 70,
                followers: 1,
                members: 9,
            };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Stand);
        });

        it("stands if nobody has heard it for long although it renews", () => {
            const view = { ...WELL, silentMs: 4100, isHeardByPeer: false, renewalAgeMs: 70 };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Stand);
        });

        it("leaves one that has only just taken over twice the time", () => {
            const young = { ...WELL, isHeardByPeer: false, termAgeMs: 3000 };
            const busy = { ...young, silentMs: 2300, renewalAgeMs: 1600 };
            expect(chooseCandidacyStep(busy, RULES)).toBe(CandidacyStep.Follow);
            expect(chooseCandidacyStep({ ...busy, renewalAgeMs: 2500 }, RULES)).toBe(CandidacyStep.Stand);
            expect(chooseCandidacyStep({ ...busy, isRefused: true }, RULES)).toBe(CandidacyStep.Stand);
        });

        it("speaks through a peer that hears it", () => {
            expect(chooseCandidacyStep({ ...WELL, silentMs: 1200 }, RULES)).toBe(CandidacyStep.Relay);
        });

        it("leaves a coordinator alone that renews, when it reaches nobody itself", () => {
            const cutOff = { ...WELL, silentMs: 1200, isHeardByPeer: false, peersAnswered: 0 };
            expect(chooseCandidacyStep(cutOff, RULES)).toBe(CandidacyStep.Follow);
            expect(chooseCandidacyStep({ ...cutOff, renewalAgeMs: 3000 }, RULES)).toBe(CandidacyStep.Stand);
        });
    });

    describe("when the coordinator's process has ended", () => {
        it("stands at once", () => {
            const view = { ...WELL, isRefused: true, isHeardByPeer: false, peersAnswered: 0 };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Stand);
        });
    });

    describe("when the coordinator has no store", () => {
        it("takes over if the store answers here", () => {
            const view = { ...WELL, storeSilentMs: 2000, renewalAgeMs: 2500 };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Stand);
        });

        it("doesn't take over if the store shows its renewals: it was only late to read the answers", () => {
            const view = { ...WELL, storeSilentMs: 2000, renewalAgeMs: 120 };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Follow);
        });

        it("goes on speaking to it directly if the store answers nobody", () => {
            const view = { ...WELL, storeSilentMs: 2000, hasStore: false };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Follow);
            expect(chooseCandidacyStep({ ...view, silentMs: 1200 }, RULES)).toBe(CandidacyStep.Relay);
        });

        it("doesn't if the store answers nobody", () => {
            const view = { ...WELL, storeSilentMs: 2000, hasStore: false, isHeardByPeer: false };
            expect(chooseCandidacyStep(view, RULES)).toBe(CandidacyStep.Follow);
        });
    });
});
