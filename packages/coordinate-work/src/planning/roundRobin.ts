/**
 * Orders values when there may not be time to handle all of them: the longest-skipped and the most urgent values
 * alternate. So an urgent value doesn't wait for all skipped ones, and no value is skipped for ever.
 */
export class RoundRobin<T> {
    /** The values that weren't reached, the longest-skipped first. */
    private skipped: readonly T[] = [];

    /** Orders values that are given with the most urgent first. */
    listInTurn(urgentFirst: readonly T[]): readonly T[] {
        if (this.skipped.length === 0) {
            return urgentFirst;
        }
        const present = new Set(urgentFirst);
        const skippedHere = this.skipped.filter(value => present.has(value));
        const ordered = new Set<T>();
        urgentFirst.forEach((value, index) => {
            skippedHere.slice(index, index + 1).forEach(skippedValue => ordered.add(skippedValue));
            ordered.add(value);
        });
        return [...ordered];
    }

    /** Records the values that weren't reached; all others no longer count as skipped. */
    recordSkipped(values: readonly T[]): void {
        const newlySkipped = new Set(values);
        const stillSkipped = this.skipped.filter(value => newlySkipped.delete(value));
        this.skipped = [...stillSkipped, ...newlySkipped];
    }
}
