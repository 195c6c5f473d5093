import type { TermHolder } from "@sardinestage/keep-term";

/** What a peer knows of the coordinator. */
export interface PeerReport {
    readonly holder: TermHolder | undefined;
    /** Time since the peer last heard from it, in milliseconds. */
    readonly heardMs: number;
}
