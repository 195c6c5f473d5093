import type { ConfigDocument } from "@sardinestage/types";

/** One accepted configuration. */
export interface ConfigVersion {
    /** Rises by one with each accepted change; 0 is the empty configuration. */
    readonly version: number;
    readonly document: ConfigDocument;
    /** The id of the publishing record; empty when it was taken from a peer or a retained copy. */
    readonly changeId: string;
    readonly operator: string;
    readonly acceptedAtMs: number;
}
