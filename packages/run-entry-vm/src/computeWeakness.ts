import type { Candidate } from "@sardinestage/keep-term";

/** How much weaker a VM is than the strongest of some: 0 for the strongest, towards 1 for one with next to nothing. */
export function computeWeakness(self: Candidate, others: readonly Candidate[]): number {
    const strongest = Math.max(self.strength, ...others.map(other => other.strength));
    return strongest <= 0 ? 0 : 1 - self.strength / strongest;
}
