/** A set of whole numbers, kept as sorted ranges: what it takes in memory follows its gaps, not its numbers. */
export class IndexRanges {
    /** For each range in ascending order: its first number, and the number after its last. */
    private readonly bounds: number[] = [];
    private count = 0;

    /** @param bounds The ranges, as `listBounds` returns them. */
    constructor(bounds: readonly number[] = []) {
        this.bounds.push(...bounds);
        for (let position = 0; position + 1 < bounds.length; position += 2) {
            this.count += bounds[position + 1] - bounds[position];
        }
    }

    /** How many numbers the set has. */
    get size(): number {
        return this.count;
    }

    /** How many ranges the set consists of. */
    get rangeCount(): number {
        return this.bounds.length / 2;
    }

    /** Whether the set has a number. */
    has(number: number): boolean {
        return this.countBoundsUpTo(number) % 2 === 1;
    }

    /** Adds a number; does nothing if the set has it already. */
    add(number: number): void {
        const { bounds } = this;
        const position = this.countBoundsUpTo(number);
        if (position % 2 === 1) {
            return;
        }
        this.count++;
        const followsRange = position > 0 && bounds[position - 1] === number;
        const precedesRange = position < bounds.length && bounds[position] === number + 1;
        if (followsRange && precedesRange) {
            bounds.splice(position - 1, 2);
        }
        else if (followsRange) {
            bounds[position - 1] = number + 1;
        }
        else if (precedesRange) {
            bounds[position] = number;
        }
        else {
            bounds.splice(position, 0, number, number + 1);
        }
    }

    /** Adds all numbers of another set to this one, which has to be empty. */
    addAll(other: IndexRanges): void {
        this.bounds.push(...other.bounds);
        this.count += other.count;
    }

    /** Lists the ranges as a flat array: the first number of each, and the number after its last. */
    listBounds(): readonly number[] {
        return [...this.bounds];
    }

    /** Lists the numbers in ascending order. */
    *listNumbers(): Iterable<number> {
        for (let position = 0; position + 1 < this.bounds.length; position += 2) {
            for (let number = this.bounds[position]; number < this.bounds[position + 1]; number++) {
                yield number;
            }
        }
    }

    /** Finds the lowest number from `number` on that the set lacks. */
    findMissingFrom(number: number): number {
        const position = this.countBoundsUpTo(number);
        return position % 2 === 1 ? this.bounds[position] : number;
    }

    /** Finds the highest number below `number` that the set lacks; it may be negative. */
    findMissingBelow(number: number): number {
        const highest = number - 1;
        const position = this.countBoundsUpTo(highest);
        return position % 2 === 1 ? this.bounds[position - 1] - 1 : highest;
    }

    /** Counts the bounds that are at most `number`; an odd count means that the set has the number. */
    private countBoundsUpTo(number: number): number {
        let low = 0;
        let high = this.bounds.length;
        while (low < high) {
            const middle = (low + high) >>> 1;
            if (this.bounds[middle] <= number) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
