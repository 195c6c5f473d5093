/** Ring buffer of the newest samples of a quantity, for quantiles that follow its changes. */
export class RecentSamples {
    private readonly samples: number[] = [];
    private next = 0;

    constructor(private readonly capacity: number) {}

    /** Adds a sample; replaces the oldest one when the buffer is full. */
    add(sample: number): void {
        this.samples[this.next] = sample;
        this.next = (this.next + 1) % this.capacity;
    }

    /** Returns the number of samples in the buffer. */
    getCount(): number {
        return this.samples.length;
    }

    /** Returns the sample at a quantile from 0 to 1; `undefined` while there is no sample. */
    computeQuantile(quantile: number): number | undefined {
        const sorted = [...this.samples].sort((a, b) => a - b);
        return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))];
    }
}
