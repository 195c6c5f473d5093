import type { Reply } from "./reply.js";
import type { TryEnd } from "./tryEnd.js";

/** What one try at a target came to. */
export interface TryResult {
    readonly end: TryEnd;
    /** Set when the target answered. */
    readonly reply?: Reply;
}
