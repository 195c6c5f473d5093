import type { Reply } from "./reply.js";
import type { TryEnd } from "./tryEnd.js";

/** Result of one try at a target. */
export interface TryResult {
    readonly end: TryEnd;
    /** The target's response; set only when the target answered. */
    readonly reply?: Reply;
}
