import { describe, expect, it } from "@jest/globals";
import { computeCallerLimits } from "./computeCallerLimits.js";

describe("computeCallerLimits", () => {
    it("leaves most descriptors and memory to the rest of the process", () => {
        expect(computeCallerLimits(250, 4100, {})).toEqual({
            maxConnections: 1000,
            maxHeldBytes: 25_165_824,
            maxOpenRequests: 1000,
            maxPipelinedRequests: 4,
            bodyProgressMs: 15_000,
        });
        expect(computeCallerLimits(160, 600, {}).maxConnections).toBe(133);
    });

    it("takes requests of the largest body however small the machine is", () => {
        const limits = computeCallerLimits(1, 1, {});
        expect(limits.maxConnections).toBe(16);
        expect(limits.maxHeldBytes / 262_144).toBe(40);
    });

    it("prefers explicit limits", () => {
        expect(computeCallerLimits(250, 4100, { maxConnections: 7 }).maxConnections).toBe(7);
    });
});
