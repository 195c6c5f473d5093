import type { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { ImageInterference } from "./imageInterference.js";

/** Headroom of a serving task of which nothing is known. */
const DEFAULT_HEADROOM = 2.5;
/** A serving image from which some neighbour would take so much on a whole worker suffers easily. */
const SENSITIVE_ABOVE = 3;

/** What was learned of images as it stands at one time, each pair worked out once. Images go by numbers of its own. */
export class HeadroomEstimateCache {
    private readonly numbers = new Map<string, number>();
    private readonly images: string[] = [];
    private readonly usual: number[] = [];
    private readonly sensitive: (boolean | undefined)[] = [];
    private readonly harms = new Map<string, ImageInterference>();

    constructor(private readonly estimator: HeadroomEstimator) {}

    /** The number of a serving image. */
    resolveImage(image: string): number {
        const known = this.numbers.get(image);
        if (known !== undefined) {
            return known;
        }
        const number = this.images.push(image) - 1;
        this.numbers.set(image, number);
        this.usual.push(this.estimator.estimateUsual(image) ?? DEFAULT_HEADROOM);
        const sensitivity = this.estimator.estimateSensitivity(image);
        this.sensitive.push(sensitivity === undefined ? undefined : sensitivity > SENSITIVE_ABOVE);
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
    resolveInterference(image: string): ImageInterference {
        const known = this.harms.get(image);
        if (known !== undefined) {
            return known;
        }
        const harms: ImageInterference = {
            image,
            maxInterference: this.estimator.estimateWorstHarm(image),
            byServingImage: [],
        };
        this.harms.set(image, harms);
        return harms;
    }

    /** How much headroom an image takes from a serving one if it uses a whole worker's processor. */
    getInterference(harms: ImageInterference, serving: number): number {
        const known = harms.byServingImage[serving];
        if (known !== undefined) {
            return known;
        }
        const harm = this.estimator.estimateHarm(this.images[serving], harms.image);
        harms.byServingImage[serving] = harm;
        return harm;
    }
}
