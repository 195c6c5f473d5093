import type { ConfigDocument } from "@sardinestage/types";

/** One accepted configuration. */
export interface ConfigVersion {
    /** Increases by one with each accepted change. 0 is the empty configuration. */
    readonly version: number;
    readonly document: ConfigDocument;
    /** The id of the record that published the version; empty if the version came from a peer or a retention record. */
    readonly changeId: string;
    /** The name of the operator who published the version; empty if the version is a copy. */
    readonly operator: string;
    /** When the record was appended to the log, in Unix milliseconds. */
    readonly acceptedAtMs: number;
}
