import type { ServingFigure } from "@sardinestage/learn-behaviour";

/** What was seen of a serving task when its worker was last looked at. */
export interface HeadroomSample extends ServingFigure {
    readonly workerId: string;
    readonly atMs: number;
    /** How much less headroom it has than the others of its step, averaged; never negative. */
    readonly deficit: number;
}
