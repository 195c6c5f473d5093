import type { StepSpec } from "@sardinestage/describe-work";

/** Weight of the newest duration in the average. */
const NEWEST_WEIGHT = 0.1;
/** Assumed duration of a task without a submitted estimate, in milliseconds. */
const DEFAULT_DURATION_MS = 1000;

/** Corrects the submitters' duration estimates by moving averages of their errors, kept by queue and image. */
export class DurationEstimator {
    private readonly ratios = new Map<string, number>();

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
