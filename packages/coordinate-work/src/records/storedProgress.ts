import type { PartKey } from "@sardinestage/track-jobs";

/** The records of one job's progress, as read from the store. */
export class StoredProgress {
    /** The parts, if the job's progress takes several records. */
    readonly parts: { readonly key: PartKey; readonly value: Uint8Array }[] = [];

    /** @param state The job's own record; undefined if only parts are stored. */
    constructor(public state?: Uint8Array) {}
}
