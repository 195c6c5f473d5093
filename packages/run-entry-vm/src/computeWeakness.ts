import type { Candidate } from "@sardinestage/keep-term";

/** How much weaker a VM is than the strongest VM: 0 for the strongest, near 1 for one with next to no strength. */
export function computeWeakness(self: Candidate, others: readonly Candidate[]): number {
    const strongest = Math.max(self.strength, ...others.map(other => other.strength));
    return strongest <= 0 ? 0 : 1 - self.strength / strongest;
}
