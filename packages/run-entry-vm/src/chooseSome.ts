/** Picks some of several values at random, all when there are no more. */
export function chooseSome<T>(values: readonly T[], count: number, random: () => number = Math.random): T[] {
    const left = [...values];
    const chosen: T[] = [];
    while (left.length > 0 && chosen.length < count) {
        chosen.push(...left.splice(Math.floor(random() * left.length), 1));
    }
    return chosen;
}
