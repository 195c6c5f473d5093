/**
 * Orders what is to be dealt with when there may not be time for all of it: what waits longest for its turn and what is most
 * urgent alternate. So nothing urgent waits for all that was left over, and nothing is left over for ever.
 */
export class RoundRobin<T> {
    /** What wasn't reached, the longest-waiting first. */
    private skipped: readonly T[] = [];

    /** Orders values, which come with the most urgent first. */
    listInTurn(urgentFirst: readonly T[]): readonly T[] {
        if (this.skipped.length === 0) {
            return urgentFirst;
        }
        const here = new Set(urgentFirst);
        const longest = this.skipped.filter(value => here.has(value));
        const ordered = new Set<T>();
        urgentFirst.forEach((value, index) => {
            longest.slice(index, index + 1).forEach(left => ordered.add(left));
            ordered.add(value);
        });
        return [...ordered];
    }

    /** Notes what wasn't reached. */
    recordSkipped(values: readonly T[]): void {
        const left = new Set(values);
        const known = this.skipped.filter(value => left.delete(value));
        this.skipped = [...known, ...left];
    }
}
