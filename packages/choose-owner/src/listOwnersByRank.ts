import { createHash } from "node:crypto";

/**
 * Orders members by rendezvous hashing: the first should own the key, the second follows if it is gone, and a member
 * that comes or goes changes the owner of few keys. It says who should act, never who may.
 *
 * @param key What is to be owned.
 * @param members Names of the members.
 * @returns The members, the one with the highest weight first.
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
