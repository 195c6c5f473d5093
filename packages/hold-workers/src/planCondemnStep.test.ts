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
    isRemovedOrDrained: true,
    hasTasks: true,
    isPreferred: true,
    announcedAtMs: undefined,
    isCondemned: false,
    logContinuousSinceMs: 0,
};

describe("planCondemnStep", () => {
    describe("when a worker is silent", () => {
        it("announces the condemnation only after the time limit", () => {
            expect(planCondemnStep(SILENT, LIMITS)).toBe(CondemnStep.Announce);
            expect(planCondemnStep({ ...SILENT, silentSinceMs: 96_000 }, LIMITS)).toBe(CondemnStep.Nothing);
        });

        it("does nothing while the platform lists the VM and no operator drains it", () => {
            expect(planCondemnStep({ ...SILENT, isRemovedOrDrained: false }, LIMITS)).toBe(CondemnStep.Nothing);
        });

        it("announces nothing right after its own start, during a log outage, or when a peer ranks first", () => {
            const changes = [{ startedAtMs: 95_000 }, { logContinuousSinceMs: Number.POSITIVE_INFINITY }, {
                isPreferred: false,
            }];
            for (const change of changes) {
                expect(planCondemnStep({ ...SILENT, ...change }, LIMITS)).toBe(CondemnStep.Nothing);
            }
        });
    });

    describe("when an announcement is in the log", () => {
        const announced = { ...SILENT, announcedAtMs: 60_000 };

        it("releases the tasks only after the whole waiting time", () => {
            expect(planCondemnStep(announced, LIMITS)).toBe(CondemnStep.Release);
            expect(planCondemnStep({ ...announced, nowMs: 94_999 }, LIMITS)).toBe(CondemnStep.Nothing);
        });

        it("withdraws it when the log was unreadable in between, since no holder could contest it", () => {
            expect(planCondemnStep({ ...announced, logContinuousSinceMs: 61_000 }, LIMITS)).toBe(CondemnStep.Withdraw);
        });

        it("withdraws it when the worker answers again", () => {
            expect(planCondemnStep({ ...announced, silentSinceMs: undefined }, LIMITS)).toBe(CondemnStep.Withdraw);
        });
    });
});

describe("computeAuthorityMoment", () => {
    const view = { isCondemned: false, logFreshAtMs: 10, peerConfirmedAtMs: [50, 30] };

    it("returns the newer of the last read of the log and the oldest confirmation by a peer", () => {
        expect(computeAuthorityMoment(view, 100)).toBe(30);
        expect(computeAuthorityMoment({ ...view, logFreshAtMs: 90 }, 100)).toBe(90);
    });

    it("grants no authority while a condemnation is in force", () => {
        expect(computeAuthorityMoment({ ...view, isCondemned: true }, 100)).toBe(Number.NEGATIVE_INFINITY);
    });
});
