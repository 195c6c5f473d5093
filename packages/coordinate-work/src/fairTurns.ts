/**
 * Orders what is to be dealt with when there may not be time for all of it: what waits longest for its turn and what is most
 * urgent alternate. So nothing urgent waits for all that was left over, and nothing is left over for ever.
 */
export class FairTurns<T> {
    /** What wasn't reached, the longest-waiting first. */
    private left: readonly T[] = [];

    /** Orders values, which come with the most urgent first. */
    listInTurn(urgentFirst: readonly T[]): readonly T[] {
        if (this.left.length === 0) {
            return urgentFirst;
        }
        const here = new Set(urgentFirst);
        const longest = this.left.filter(value => here.has(value));
        const ordered = new Set<T>();
        urgentFirst.forEach((value, index) => {
            longest.slice(index, index + 1).forEach(left => ordered.add(left));
            ordered.add(value);
        });
        return [...ordered];
    }

    /** Notes what wasn't reached. */
    noteLeft(values: readonly T[]): void {
        const left = new Set(values);
        const known = this.left.filter(value => left.delete(value));
        this.left = [...known, ...left];
    }
}
