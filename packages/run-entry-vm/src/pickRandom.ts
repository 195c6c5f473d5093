/** Picks up to `count` of the values at random, each at most once. */
export function pickRandom<T>(values: readonly T[], count: number, random: () => number = Math.random): T[] {
    const remaining = [...values];
    const picked: T[] = [];
    while (remaining.length > 0 && picked.length < count) {
        picked.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
    }
    return picked;
}
