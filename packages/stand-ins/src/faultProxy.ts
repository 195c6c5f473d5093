import { createConnection, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { LinkFault } from "./linkFault.js";

/** The two sockets of a forwarded connection. */
interface ProxiedConnection {
    readonly client: Socket;
    readonly upstream: Socket;
    /** Whether the connection forwards nothing any more. */
    silent: boolean;
}

/** Forwards TCP connections to one port, with a delay and with faults that tests can switch on. */
export class FaultProxy {
    /** Bytes forwarded, in both directions. */
    bytesForwarded = 0;
    private fault = LinkFault.None;
    private readonly server: Server;
    private readonly connections = new Set<ProxiedConnection>();

    /**
     * @param upstreamPort Port of 127.0.0.1 to which connections are forwarded.
     * @param delayMs One-way delay in milliseconds.
     */
    constructor(private readonly upstreamPort: number, private readonly delayMs: number) {
        this.server = createServer(client => this.acceptConnection(client));
    }

    /** Starts listening on a port of 127.0.0.1. */
    listen(port: number): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, "127.0.0.1", () => resolve());
        });
    }

    /** Sets the fault; `LinkFault.None` ends the current one. */
    setFault(fault: LinkFault): void {
        for (const connection of this.connections) {
            if (fault === LinkFault.OpenSilent) {
                connection.silent = true;
            }
            else if (fault === LinkFault.Refused) {
                connection.client.destroy();
            }
        }
        this.fault = fault;
    }

    /** Stops listening and closes all open connections. */
    close(): void {
        this.server.close();
        for (const connection of this.connections) {
            connection.client.destroy();
            connection.upstream.destroy();
        }
    }

    private acceptConnection(client: Socket): void {
        client.on("error", () => client.destroy());
        if (this.fault === LinkFault.Refused) {
            client.destroy();
            return;
        }
        const upstream = createConnection({ host: "127.0.0.1", port: this.upstreamPort, noDelay: true });
        const connection: ProxiedConnection = { client, upstream, silent: false };
        client.setNoDelay(true);
        this.connections.add(connection);
        upstream.on("error", () => client.destroy());
        client.on("data", chunk => this.forwardChunk(upstream, chunk, this.isBlocked(connection)));
        upstream.on("data", chunk => {
            this.forwardChunk(client, chunk, this.isBlocked(connection) || this.fault === LinkFault.AnswersDropped);
        });
        client.on("close", () => this.forwardClose(connection, upstream));
        upstream.on("close", () => this.forwardClose(connection, client));
    }

    private isBlocked(connection: ProxiedConnection): boolean {
        return connection.silent || this.fault === LinkFault.Cut;
    }

    private forwardChunk(to: Socket, chunk: Buffer, blocked: boolean): void {
        if (blocked) {
            return;
        }
        this.bytesForwarded += chunk.length;
        if (this.delayMs === 0) {
            to.write(chunk);
        }
        else {
            setTimeout(() => to.destroyed || to.write(chunk), this.delayMs);
        }
    }

    /** Closes the other socket after the delay, unless the link is blocked. */
    private forwardClose(connection: ProxiedConnection, other: Socket): void {
        if (connection.client.destroyed && connection.upstream.destroyed) {
            this.connections.delete(connection);
        }
        if (!this.isBlocked(connection)) {
            // Bytes written before the close must be delivered first.
            setTimeout(() => other.end(() => other.destroy()), this.delayMs);
        }
    }
}
