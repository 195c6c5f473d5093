/** What a record of the operator says about a failure domain. */
export interface EvacuationRecord {
    readonly domain: string;
    /** False if the record removes its key. */
    readonly isEvacuated: boolean;
}
