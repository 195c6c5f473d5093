import { describe, expect, it } from "@jest/globals";
import { computeShareRanks } from "./computeShareRanks.js";
import type { ShareDemand } from "./shareDemand.js";
import { ShareRank } from "./shareRank.js";

function listRanks(
    usedCpuMillis: number,
    level: number,
    demands: readonly (number | "useless")[],
): readonly ShareRank[] {
    const load = { usedCpuMillis, heldCpuMillis: 0, waitingCpuMillis: 0 };
    const list = demands.map((demand): ShareDemand =>
        demand === "useless" ? { cpuMillis: 1000, isUseless: true } : { cpuMillis: demand, isUseless: false }
    );
    return computeShareRanks(load, level, list);
}

describe("A queue's demands", () => {
    it("are within the share as long as the demands before them leave room", () => {
        expect(listRanks(100, 1000, [500, 400, 300])).toEqual([ShareRank.Within, ShareRank.Within, ShareRank.Over]);
    });

    // Guards against a large step of an idle queue that waits behind all small ones of a queue over its share.
    it("come before those of a queue over its share even if one alone is larger than the share", () => {
        expect(listRanks(0, 1000, [5000, 1000])).toEqual([ShareRank.Exceeding, ShareRank.Over]);
    });

    it("are all over the share if the queue uses it already", () => {
        expect(listRanks(1000, 1000, [500])).toEqual([ShareRank.Over]);
    });

    it("go last if their job is of no more use, and use none of the share", () => {
        expect(listRanks(0, 1000, ["useless", 1000])).toEqual([ShareRank.Useless, ShareRank.Within]);
    });

    it("are within an infinite share", () => {
        expect(listRanks(0, Infinity, [1000, 1000])).toEqual([ShareRank.Within, ShareRank.Within]);
    });
});
