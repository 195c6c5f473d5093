import type { StepSpec } from "@sardinestage/describe-work";
import { DurationSpread } from "@sardinestage/learn-behaviour";

/** Weight of the newest duration in the average. */
const NEWEST_WEIGHT = 0.1;
/** Assumed duration of a task without a submitted estimate, in milliseconds. */
const DEFAULT_DURATION_MS = 1000;

/** Corrects the submitters' duration estimates by moving averages of their errors, kept by queue and image. */
export class DurationEstimator {
    private readonly ratios = new Map<string, number>();
    private readonly spreads = new Map<string, DurationSpread>();

    /** Updates the average with the duration of a successful run. */
    learnDuration(queue: string, spec: StepSpec, durationMs: number): void {
        const key = `${queue}/${spec.image}`;
        const ratio = Math.log(Math.max(1, durationMs) / getSubmittedEstimate(spec));
        const known = this.ratios.get(key);
        this.ratios.set(key, known === undefined ? ratio : known + (ratio - known) * NEWEST_WEIGHT);
    }

    /** Estimates the duration of a task in milliseconds: the submitted estimate times the learned correction. */
    estimateDuration(queue: string, spec: StepSpec): number {
        const ratio = this.ratios.get(`${queue}/${spec.image}`) ?? 0;
        return getSubmittedEstimate(spec) * Math.exp(ratio);
    }

    /**
     * Learns how far the durations of successful runs spread around the estimates.
     *
     * @returns The ratio of the duration to its estimate.
     */
    learnSpread(queue: string, spec: StepSpec, durationMs: number): number {
        const key = `${queue}/${spec.image}`;
        const spread = this.spreads.get(key) ?? new DurationSpread();
        this.spreads.set(key, spread);
        const ratio = durationMs / this.estimateDuration(queue, spec);
        spread.learnRatio(ratio);
        return ratio;
    }

    /**
     * Estimates how much longer a run takes, in milliseconds; undefined while too few durations are known.
     *
     * @param elapsedMs Time that the run has taken; 0 for a run that begins.
     */
    estimateRemaining(queue: string, spec: StepSpec, elapsedMs: number): number | undefined {
        const estimateMs = this.estimateDuration(queue, spec);
        const remaining = this.spreads.get(`${queue}/${spec.image}`)?.estimateRemaining(elapsedMs / estimateMs);
        return remaining === undefined ? undefined : remaining * estimateMs;
    }

    /** Describes the learned spreads for storage, by queue and image. */
    describeSpreads(): Readonly<Record<string, readonly number[]>> {
        return Object.fromEntries([...this.spreads].map(([key, spread]) => [key, spread.describeState()]));
    }

    /** Restores spreads that another estimator has described. */
    restoreSpreads(spreads: Readonly<Record<string, readonly number[]>>): void {
        Object.entries(spreads).forEach(([key, weights]) => this.spreads.set(key, new DurationSpread(weights)));
    }

    /** Describes the learned state for storage: logarithms of actual over submitted durations, by queue and image. */
    describeState(): Readonly<Record<string, number>> {
        return Object.fromEntries(this.ratios);
    }

    /** Restores a state that another estimator has described. */
    restoreState(ratios: Readonly<Record<string, number>>): void {
        Object.entries(ratios).forEach(([key, ratio]) => this.ratios.set(key, ratio));
    }
}

function getSubmittedEstimate(spec: StepSpec): number {
    return spec.estimateMs > 0 ? spec.estimateMs : DEFAULT_DURATION_MS;
}
