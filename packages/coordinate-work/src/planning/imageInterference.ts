/** How much headroom tasks of one image take from serving tasks, at a whole worker's processor. */
export interface ImageInterference {
    readonly image: string;
    /** The most headroom that the image takes from any serving image. */
    readonly maxInterference: number;
    /**
     * The headroom that the image takes from each serving image, by the serving image's number; filled on first use.
     */
    readonly byServingImage: (number | undefined)[];
}
