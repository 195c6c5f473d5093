import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";

const SIGNIFICANT_DIGITS = 3;
/** Longest duration that a histogram can hold; longer durations are recorded as this one. */
const HIGHEST_MICROSECONDS = 600_000_000;
const MICROSECONDS_PER_MILLISECOND = 1000;
const REPORTED_PERCENTILES = [50, 90, 99, 99.9];

/** The counters, gauges and latency histograms of one process. */
export class Metrics {
    private readonly registry = new Registry();
    private readonly counters = new Map<string, Counter>();
    private readonly gauges = new Map<string, Gauge>();
    private readonly histograms = new Map<string, Histogram>();

    /**
     * Adds to a counter that has one value per reason.
     *
     * @param name Name of the counter, in snake case and ending in `_total`.
     * @param reason The value of the `reason` label.
     * @param amount How much to add.
     */
    count(name: string, reason: string, amount = 1): void {
        this.getCounter(name).inc({ reason }, amount);
    }

    /**
     * Sets a gauge.
     *
     * @param queue The value of the `queue` label of a gauge that has one value per queue.
     */
    setGauge(name: string, value: number, queue?: string): void {
        let gauge = this.gauges.get(name);
        if (gauge === undefined) {
            const labelNames = queue === undefined ? [] : ["queue"];
            gauge = new Gauge({ name, help: name.replaceAll("_", " "), labelNames, registers: [this.registry] });
            this.gauges.set(name, gauge);
        }
        gauge.set(queue === undefined ? {} : { queue }, value);
    }

    /** Records a duration, in milliseconds, in the histogram of this name. */
    recordDuration(name: string, milliseconds: number): void {
        let histogram = this.histograms.get(name);
        if (histogram === undefined) {
            histogram = build({
                highestTrackableValue: HIGHEST_MICROSECONDS,
                numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
            });
            this.histograms.set(name, histogram);
        }
        const microseconds = Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND);
        histogram.recordValue(Math.min(HIGHEST_MICROSECONDS, Math.max(1, microseconds)));
    }

    /** Reads a percentile of a histogram, in milliseconds; 0 while the histogram is empty. */
    readPercentile(name: string, percentile: number): number {
        const histogram = this.histograms.get(name);
        return histogram === undefined ? 0 : histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
    }

    /** Reads the totals of a counter by reason; empty while nothing was counted. */
    async readTotals(name: string): Promise<Readonly<Record<string, number>>> {
        const values = (await this.counters.get(name)?.get())?.values ?? [];
        return Object.fromEntries(values.map(({ labels, value }) => [String(labels.reason), value]));
    }

    /** Returns all counters, gauges and histograms in the Prometheus text format. */
    async writeText(): Promise<string> {
        const lines = [await this.registry.metrics()];
        for (const [name, histogram] of this.histograms) {
            lines.push(`# TYPE ${name}_milliseconds summary`);
            for (const percentile of REPORTED_PERCENTILES) {
                const quantile = percentile / 100;
                lines.push(`${name}_milliseconds{quantile="${quantile}"} ${this.readPercentile(name, percentile)}`);
            }
            lines.push(`${name}_milliseconds_count ${histogram.totalCount}`);
        }
        return `${lines.join("\n")}\n`;
    }

    private getCounter(name: string): Counter {
        let counter = this.counters.get(name);
        if (counter === undefined) {
            counter = new Counter({
                name,
                help: name.replaceAll("_", " "),
                labelNames: ["reason"],
                registers: [this.registry],
            });
            this.counters.set(name, counter);
        }
        return counter;
    }
}
