/** Where a peer listens. */
export interface PeerAddress {
    readonly vm: string;
    readonly address: string;
    readonly port: number;
}
