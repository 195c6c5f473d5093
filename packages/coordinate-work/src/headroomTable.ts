import type { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { ImageHarms } from "./imageHarms.js";

/** Headroom of a serving task of which nothing is known. */
const USUAL_HEADROOM = 2.5;
/** A serving image from which some neighbour would take so much on a whole worker suffers easily. */
const SENSITIVE = 3;

/** What was learned of images as it stands at one time, each pair worked out once. Images go by numbers of its own. */
export class HeadroomTable {
    private readonly numbers = new Map<string, number>();
    private readonly images: string[] = [];
    private readonly usual: number[] = [];
    private readonly sensitive: (boolean | undefined)[] = [];
    private readonly harms = new Map<string, ImageHarms>();

    constructor(private readonly estimator: HeadroomEstimator) {}

    /** The number of a serving image. */
    resolveImage(image: string): number {
        const known = this.numbers.get(image);
        if (known !== undefined) {
            return known;
        }
        const number = this.images.push(image) - 1;
        this.numbers.set(image, number);
        this.usual.push(this.estimator.estimateUsual(image) ?? USUAL_HEADROOM);
        const sensitivity = this.estimator.estimateSensitivity(image);
        this.sensitive.push(sensitivity === undefined ? undefined : sensitivity > SENSITIVE);
        return number;
    }

    /** The usual headroom of a serving image without neighbours. */
    getUsual(serving: number): number {
        return this.usual[serving];
    }

    /** Whether a serving image suffers easily; undefined while nothing is known. */
    isSensitive(serving: number): boolean | undefined {
        return this.sensitive[serving];
    }

    /** What an image takes from others; for `getHarm`. */
    resolveHarms(image: string): ImageHarms {
        const known = this.harms.get(image);
        if (known !== undefined) {
            return known;
        }
        const harms: ImageHarms = { image, worst: this.estimator.estimateWorstHarm(image), taken: [] };
        this.harms.set(image, harms);
        return harms;
    }

    /** How much headroom an image takes from a serving one if it uses a whole worker's processor. */
    getHarm(harms: ImageHarms, serving: number): number {
        const known = harms.taken[serving];
        if (known !== undefined) {
            return known;
        }
        const harm = this.estimator.estimateHarm(this.images[serving], harms.image);
        harms.taken[serving] = harm;
        return harm;
    }
}
