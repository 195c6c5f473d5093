/** What tasks of one image take from serving ones. */
export interface ImageHarms {
    readonly image: string;
    /** The most that it takes from any serving image. */
    readonly worst: number;
    /** What it takes from each serving image, by the image's number; filled as it is asked for. */
    readonly taken: (number | undefined)[];
}
