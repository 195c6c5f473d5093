import { describe, expect, it } from "@jest/globals";
import { limits } from "../limits.js";
import { computeLeaseLength } from "./computeLeaseLength.js";

const LEASE_MS = 4500;

describe("computeLeaseLength", () => {
    it("gives the full length while the authority was confirmed a moment ago", () => {
        expect(computeLeaseLength(LEASE_MS, 0)).toBe(LEASE_MS);
        expect(computeLeaseLength(LEASE_MS, limits.leaseConfirmationMs)).toBe(LEASE_MS);
    });

    it("gives no lease that ends later, counted from the confirmation", () => {
        for (const ageMs of [0, 500, 700, 1399]) {
            const endMs = ageMs + computeLeaseLength(LEASE_MS, ageMs);
            expect(endMs).toBeLessThanOrEqual(LEASE_MS + limits.leaseConfirmationMs);
        }
    });
});
