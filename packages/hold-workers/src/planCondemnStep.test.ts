import { describe, expect, it } from "@jest/globals";
import { computeAuthorityMoment } from "./computeAuthorityMoment.js";
import { CondemnStep } from "./condemnStep.js";
import type { CondemnView } from "./condemnView.js";
import { planCondemnStep } from "./planCondemnStep.js";

const LIMITS = { condemnAfterMs: 5_000, startupQuietMs: 10_000, waitMs: 35_000 };
const SILENT: CondemnView = {
    nowMs: 100_000,
    startedAtMs: 0,
    silentSinceMs: 90_000,
    isGivenUp: true,
    hasTasks: true,
    isPreferred: true,
    announcedAtMs: undefined,
    isCondemned: false,
    logContinuousSinceMs: 0,
};

describe("planCondemnStep", () => {
    describe("when a worker is silent", () => {
        it("announces it after the limit, and only then", () => {
            expect(planCondemnStep(SILENT, LIMITS)).toBe(CondemnStep.Announce);
            expect(planCondemnStep({ ...SILENT, silentSinceMs: 96_000 }, LIMITS)).toBe(CondemnStep.Nothing);
        });

        it("waits for it while the platform lists its VM and no operator drains it", () => {
            expect(planCondemnStep({ ...SILENT, isGivenUp: false }, LIMITS)).toBe(CondemnStep.Nothing);
        });

        it("doesn't announce right after its own start, during an outage, or in a peer's place", () => {
            const changes = [{ startedAtMs: 95_000 }, { logContinuousSinceMs: Number.POSITIVE_INFINITY }, {
                isPreferred: false,
            }];
            for (const change of changes) {
                expect(planCondemnStep({ ...SILENT, ...change }, LIMITS)).toBe(CondemnStep.Nothing);
            }
        });
    });

    describe("when an announcement stands", () => {
        const announced = { ...SILENT, announcedAtMs: 60_000 };

        it("releases the tasks only after the whole wait", () => {
            expect(planCondemnStep(announced, LIMITS)).toBe(CondemnStep.Release);
            expect(planCondemnStep({ ...announced, nowMs: 94_999 }, LIMITS)).toBe(CondemnStep.Nothing);
        });

        it("withdraws when the log was not readable all the time, since nobody could object", () => {
            expect(planCondemnStep({ ...announced, logContinuousSinceMs: 61_000 }, LIMITS)).toBe(CondemnStep.Withdraw);
        });

        it("withdraws when the worker answers again", () => {
            expect(planCondemnStep({ ...announced, silentSinceMs: undefined }, LIMITS)).toBe(CondemnStep.Withdraw);
        });
    });
});

describe("computeAuthorityMoment", () => {
    const view = { isCondemned: false, logFreshAtMs: 10, peerPromisedAtMs: [50, 30] };

    it("trusts the log, or the peer that was heard longest ago, whichever is newer", () => {
        expect(computeAuthorityMoment(view, 100)).toBe(30);
        expect(computeAuthorityMoment({ ...view, logFreshAtMs: 90 }, 100)).toBe(90);
    });

    it("has none while a condemnation stands", () => {
        expect(computeAuthorityMoment({ ...view, isCondemned: true }, 100)).toBe(Number.NEGATIVE_INFINITY);
    });
});
