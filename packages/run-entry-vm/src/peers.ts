import { FrameKind, PeerClient } from "@sardinestage/exchange-frames";

/** The largest frame between VMs, in bytes: a configuration or a batch of records. */
const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** The result of a request to a peer. */
interface PeerAnswer {
    readonly body: unknown;
    /**
     * Whether the connection was refused, so that the request was certainly not sent. That doesn't show that no process
     * listens at the address: a cut or a firewall may refuse connections too.
     */
    readonly isConnectionRefused: boolean;
    /** Whether an answer came within the timeout. */
    readonly hasAnswered: boolean;
}

/** Connections to other VMs, by address. */
export class Peers {
    private readonly clients = new Map<string, PeerClient>();

    constructor(private readonly peerKey: string) {}

    /** Sends a request to a VM. A connection without an answer is replaced. */
    async request(
        peer: { readonly host: string; readonly port: number },
        kind: FrameKind,
        body: unknown,
        timeoutMs: number,
    ): Promise<PeerAnswer> {
        const client = this.getClient(peer.host, peer.port, kind);
        const result = await client.request(kind, body, timeoutMs);
        if (result.ok) {
            return { body: result.val, isConnectionRefused: false, hasAnswered: true };
        }
        return {
            body: undefined,
            isConnectionRefused: result.val.kind === "peer-refused-connection",
            hasAnswered: false,
        };
    }

    /** Closes all connections. */
    close(): void {
        this.clients.forEach(client => client.close());
        this.clients.clear();
    }

    /** Each kind of request has its own connection, so that a timeout closes only the connection of that kind. */
    private getClient(host: string, port: number, kind: FrameKind): PeerClient {
        const key = `${host}:${port}/${kind}`;
        let client = this.clients.get(key);
        if (client === undefined) {
            const { peerKey } = this;
            client = new PeerClient({ address: host, port, peerKey, maxFrameBytes: MAX_FRAME_BYTES });
            this.clients.set(key, client);
        }
        return client;
    }
}
