/** A failure domain that is evacuated. */
export interface Evacuation {
    readonly domain: string;
    /** Offset of the operator's record that says so. */
    readonly offset: number;
    /** Who told this process: the store or another process. */
    readonly source: string;
}
