import { describe, expect, it } from "@jest/globals";
import { compareDemands } from "./compareDemands.js";
import { planFixture } from "./testing/planFixture.js";

const LATE = { slackMs: -1, lateSlackMs: 1 };
const USELESS = { slackMs: -2, lateSlackMs: -1 };
const PLENTY = { slackMs: 5000 };

/** Demands in the order in which they started before queues shared capacity. */
const unshared = [
    planFixture.createDemand({ longRunning: true, estimateMs: 0 }, { ...PLENTY, waitedMs: 2000 }),
    planFixture.createDemand({}, { slackMs: 500, isStarted: true }),
    planFixture.createDemand({}, { slackMs: 1000 }),
    planFixture.createDemand({}, PLENTY),
    planFixture.createDemand({}, { slackMs: 900 }),
    planFixture.createDemand({}, { ...LATE, isStarted: true }),
    planFixture.createDemand({}, LATE),
    planFixture.createDemand({}, USELESS),
    planFixture.createDemand({ longRunning: true }, { ...PLENTY, waitedMs: 1999 }),
    planFixture.createDemand({}, { slackMs: 0 }, { priority: 1 }),
];

describe("The start order", () => {
    // Guards against a change for deployments whose queues don't share capacity.
    it("without share ranks is by priority, lifetime, timeliness, start and slack", () => {
        const rotated = unshared.map((_demand, index) => [...unshared.slice(index), ...unshared.slice(0, index)]);
        rotated.forEach(demands => expect(demands.sort(compareDemands)).toEqual(unshared));
    });

    it("with equal share ranks is the same", () => {
        const ranked = unshared.map(demand => ({ ...demand, shareRank: 2 }));
        expect([...ranked].reverse().sort(compareDemands)).toEqual(ranked);
    });

    it("goes by share rank before timeliness, and after priority and lifetime", () => {
        const ranked = [
            { ...unshared[0], shareRank: 3 },
            { ...unshared[6], shareRank: 0 },
            { ...unshared[1], shareRank: 1 },
            { ...unshared[8], shareRank: 0 },
            { ...unshared[9], shareRank: 0 },
        ];
        expect([...ranked].reverse().sort(compareDemands)).toEqual(ranked);
    });
});
