/** The evacuations that a process knows, as it tells them to another process. */
export interface EvacuationState {
    /** All records of the operator below this offset are taken into account. */
    readonly readUpTo: number;
    /** The evacuated failure domains, with the offsets of the records that say so. */
    readonly evacuated: readonly { readonly domain: string; readonly offset: number }[];
}
