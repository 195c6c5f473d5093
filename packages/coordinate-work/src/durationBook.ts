import type { StepSpec } from "@sardinestage/describe-work";

/** Weight of the newest duration in the average. */
const NEWEST_WEIGHT = 0.1;
/** Duration of a task of which nothing is known, in milliseconds. */
const UNKNOWN_DURATION_MS = 1000;

/** Learns how far the submitters' guesses are off, by queue and image. */
export class DurationBook {
    private readonly ratios = new Map<string, number>();

    /** Takes the duration of a run that ended well. */
    learnDuration(queue: string, spec: StepSpec, durationMs: number): void {
        const key = `${queue}/${spec.image}`;
        const ratio = Math.log(Math.max(1, durationMs) / getGuess(spec));
        const known = this.ratios.get(key);
        this.ratios.set(key, known === undefined ? ratio : known + (ratio - known) * NEWEST_WEIGHT);
    }

    /** Estimates the duration of a task, in milliseconds. */
    estimateDuration(queue: string, spec: StepSpec): number {
        const ratio = this.ratios.get(`${queue}/${spec.image}`) ?? 0;
        return getGuess(spec) * Math.exp(ratio);
    }

    /** What was learned, for another book to go on with: logarithms of true over guessed, by queue and image. */
    describeState(): Readonly<Record<string, number>> {
        return Object.fromEntries(this.ratios);
    }

    /** Goes on from what another book has learned. */
    restoreState(ratios: Readonly<Record<string, number>>): void {
        Object.entries(ratios).forEach(([key, ratio]) => this.ratios.set(key, ratio));
    }
}

function getGuess(spec: StepSpec): number {
    return spec.estimateMs > 0 ? spec.estimateMs : UNKNOWN_DURATION_MS;
}
