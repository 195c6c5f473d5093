/** What all connections of one address hold. */
export interface AddressTotals {
    readonly address: string;
    connections: number;
    /** All bytes held, and those of them that belong to requests that are being answered. */
    heldBytes: number;
    openBytes: number;
    openRequests: number;
}
