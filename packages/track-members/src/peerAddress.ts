/** Name, IP address and port of a peer. */
export interface PeerAddress {
    readonly vm: string;
    readonly address: string;
    readonly port: number;
}
