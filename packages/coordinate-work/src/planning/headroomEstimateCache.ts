import type { HeadroomEstimator } from "@sardinestage/learn-behaviour";
import type { ImageInterference } from "./imageInterference.js";

/** Headroom assumed for a serving image of which nothing is known. */
const DEFAULT_HEADROOM = 2.5;
/**
 * An image is sensitive if some neighbour that uses a whole worker's processor takes more headroom than this from it.
 */
const SENSITIVE_ABOVE = 3;

/**
 * Caches the headroom estimates of images as of one time, each pair computed once. Serving images get numbers as keys.
 */
export class HeadroomEstimateCache {
    private readonly numbers = new Map<string, number>();
    private readonly images: string[] = [];
    private readonly usual: number[] = [];
    private readonly sensitivities: (boolean | undefined)[] = [];
    private readonly interference = new Map<string, ImageInterference>();

    constructor(private readonly estimator: HeadroomEstimator) {}

    /** Gets the number of a serving image; a new image gets the next number. */
    resolveImage(image: string): number {
        const known = this.numbers.get(image);
        if (known !== undefined) {
            return known;
        }
        const number = this.images.push(image) - 1;
        this.numbers.set(image, number);
        this.usual.push(this.estimator.estimateUsualHeadroom(image) ?? DEFAULT_HEADROOM);
        const sensitivity = this.estimator.estimateSensitivity(image);
        this.sensitivities.push(sensitivity === undefined ? undefined : sensitivity > SENSITIVE_ABOVE);
        return number;
    }

    /** Gets the usual headroom of a serving image without neighbours. */
    getUsual(servingImage: number): number {
        return this.usual[servingImage];
    }

    /** Whether a serving image is sensitive to neighbours; undefined while nothing is known. */
    isSensitive(servingImage: number): boolean | undefined {
        return this.sensitivities[servingImage];
    }

    /** Gets the cached interference of an image, for `getInterference`. */
    resolveInterference(image: string): ImageInterference {
        const known = this.interference.get(image);
        if (known !== undefined) {
            return known;
        }
        const interference: ImageInterference = {
            image,
            maxInterference: this.estimator.estimateWorstInterference(image),
            byServingImage: [],
        };
        this.interference.set(image, interference);
        return interference;
    }

    /** Gets the headroom that an image takes from a serving image if it uses a whole worker's processor. */
    getInterference(interference: ImageInterference, servingImage: number): number {
        const known = interference.byServingImage[servingImage];
        if (known !== undefined) {
            return known;
        }
        const taken = this.estimator.estimateInterference(this.images[servingImage], interference.image);
        interference.byServingImage[servingImage] = taken;
        return taken;
    }
}
