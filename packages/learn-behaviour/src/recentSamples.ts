/** The newest samples of a quantity, for quantiles that follow a change. */
export class RecentSamples {
    private readonly samples: number[] = [];
    private next = 0;

    constructor(private readonly capacity: number) {}

    /** Takes a sample. */
    add(sample: number): void {
        this.samples[this.next] = sample;
        this.next = (this.next + 1) % this.capacity;
    }

    /** How many samples are kept. */
    getCount(): number {
        return this.samples.length;
    }

    /** A quantile, 0 to 1; `undefined` while there is no sample. */
    computeQuantile(quantile: number): number | undefined {
        const sorted = [...this.samples].sort((a, b) => a - b);
        return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))];
    }
}
