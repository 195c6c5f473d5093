import type { TermHolder } from "@sardinestage/keep-term";

/** A peer's report on the coordinator. */
export interface PeerReport {
    /** The holder of the newest term that the peer knows. */
    readonly holder: TermHolder | undefined;
    /** Time since the coordinator last answered the peer, in milliseconds; 0 if the peer coordinates. */
    readonly heardMs: number;
    /** Whether the peer promises not to compete for the term. */
    readonly isPromised?: boolean;
}
