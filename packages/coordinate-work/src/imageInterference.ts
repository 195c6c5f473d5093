/** What tasks of one image take from serving ones. */
export interface ImageInterference {
    readonly image: string;
    /** The most that it takes from any serving image. */
    readonly maxInterference: number;
    /** What it takes from each serving image, by the image's number; filled as it is asked for. */
    readonly byServingImage: (number | undefined)[];
}
