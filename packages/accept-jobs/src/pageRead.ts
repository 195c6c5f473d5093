import type { ReadRequest } from "./readRequest.js";

/** A page in flight. */
export interface PageRead {
    /** The first key that it may contain. */
    readonly first: string;
    /** The requests that it may answer. Those that are expected to be answered by it refer to it. */
    readonly requested: readonly ReadRequest[];
    readonly sentAtMs: number;
    /** Whether its answer has begun to arrive. Then another page would only share the link with it. */
    isArriving: boolean;
    /** Whether it has taken so long that it may be lost, so that its requests don't rely on it. */
    isOverdue: boolean;
}
