import type { StageError } from "@sardinestage/errors";
import type { FrameKind } from "@sardinestage/exchange-frames";
import { PeerClient } from "@sardinestage/exchange-frames";
import type { Result } from "ts-results";
import type { PeerAddress } from "./peerAddress.js";

/** Shared key, timeout and frame limit of all connections in a pool. */
interface PeerPoolOptions {
    readonly peerKey: string;
    readonly timeoutMs: number;
    readonly maxFrameBytes: number;
}

/** Keeps one connection to each peer, opened on demand. */
export class PeerPool {
    private readonly clients = new Map<string, PeerClient>();

    constructor(private readonly options: PeerPoolOptions) {}

    /** Sends a request to a peer and waits for its reply, at most for the pool's timeout. */
    request(peer: PeerAddress, kind: FrameKind, body: unknown): Promise<Result<unknown, StageError>> {
        const key = `${peer.address}:${peer.port}`;
        const { timeoutMs, ...shared } = this.options;
        const client = this.clients.get(key) ?? new PeerClient({ address: peer.address, port: peer.port, ...shared });
        this.clients.set(key, client);
        return client.request(kind, body, timeoutMs);
    }

    /** Closes the connections to all peers that are not in `listed`. */
    closeUnlisted(listed: readonly PeerAddress[]): void {
        const keys = new Set(listed.map(peer => `${peer.address}:${peer.port}`));
        for (const [key, client] of this.clients) {
            if (!keys.has(key)) {
                client.close();
                this.clients.delete(key);
            }
        }
    }

    /** Closes all connections. */
    close(): void {
        this.closeUnlisted([]);
    }
}
