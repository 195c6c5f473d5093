/** What is known of a task beside those that a worker has. */
export interface PlaceView {
    /** How close serving tasks would come to their targets: the worst expected tail as a share of its target. */
    readonly strain: number;
    /** Whether tasks of its image are known to harm serving tasks. */
    readonly isHarmful: boolean;
    /** Share of the serving tasks there that suffer alike, as far as is known; 1 where nobody serves. */
    readonly alikeShare: number;
}
