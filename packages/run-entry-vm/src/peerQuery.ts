import type { TermHolder } from "@sardinestage/keep-term";

/** Query to a peer about the coordinator. */
export interface PeerQuery {
    /** The holder of the newest term that the asking process knows, so that both learn of the newer one. */
    readonly holder?: TermHolder;
    /** Asks the peer for its promise not to compete for a while, as long as the term of this number is the newest. */
    readonly promiseForTerm?: number;
}
