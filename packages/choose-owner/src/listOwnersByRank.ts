import { createHash } from "node:crypto";

/**
 * Orders members by rendezvous hashing. The first member should own the key, and the second should own it when the
 * first is gone. A member that joins or leaves changes the owner of only few keys. The order is a recommendation: it
 * gives no member permission to act.
 *
 * @param key Name of the thing to be owned.
 * @param members Names of the members.
 * @returns The members in descending order of their weight for this key.
 */
export function listOwnersByRank(key: string, members: readonly string[]): string[] {
    return members
        .map(member => ({ member, weight: computeWeight(key, member) }))
        .sort((a, b) => b.weight - a.weight || (a.member < b.member ? -1 : 1))
        .map(ranked => ranked.member);
}

function computeWeight(key: string, member: string): number {
    return createHash("md5").update(member).update("\0").update(key).digest().readUInt32BE(0);
}
