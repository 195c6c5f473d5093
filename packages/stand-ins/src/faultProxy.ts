import { createConnection, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { LinkFault } from "./linkFault.js";

interface Pair {
    readonly near: Socket;
    readonly far: Socket;
    silent: boolean;
}

/** Passes TCP connections on to one port, with a delay, and with faults on demand. */
export class FaultProxy {
    /** Bytes passed on in both directions. */
    bytesPassed = 0;
    private fault = LinkFault.None;
    private readonly server: Server;
    private readonly pairs = new Set<Pair>();

    /**
     * @param toPort Where connections are passed on to.
     * @param delayMs One-way delay in milliseconds.
     */
    constructor(private readonly toPort: number, private readonly delayMs: number) {
        this.server = createServer(near => this.takeConnection(near));
    }

    /** Begins to listen. */
    listen(port: number): Promise<void> {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, "127.0.0.1", () => resolve());
        });
    }

    /** Brings about a fault, or ends the present one. */
    setFault(fault: LinkFault): void {
        for (const pair of this.pairs) {
            if (fault === LinkFault.OpenSilent) {
                pair.silent = true;
            }
            else if (fault === LinkFault.Refused) {
                pair.near.destroy();
            }
        }
        this.fault = fault;
    }

    /** Stops listening and closes what is open. */
    close(): void {
        this.server.close();
        for (const pair of this.pairs) {
            pair.near.destroy();
            pair.far.destroy();
        }
    }

    private takeConnection(near: Socket): void {
        near.on("error", () => near.destroy());
        if (this.fault === LinkFault.Refused) {
            near.destroy();
            return;
        }
        const far = createConnection({ host: "127.0.0.1", port: this.toPort, noDelay: true });
        const pair: Pair = { near, far, silent: false };
        near.setNoDelay(true);
        this.pairs.add(pair);
        far.on("error", () => near.destroy());
        near.on("data", chunk => this.forwardChunk(far, chunk, this.isBlocked(pair)));
        far.on("data", chunk => {
            this.forwardChunk(near, chunk, this.isBlocked(pair) || this.fault === LinkFault.AnswersDropped);
        });
        near.on("close", () => this.closeLater(pair, far));
        far.on("close", () => this.closeLater(pair, near));
    }

    private isBlocked(pair: Pair): boolean {
        return pair.silent || this.fault === LinkFault.Cut;
    }

    private forwardChunk(to: Socket, chunk: Buffer, blocked: boolean): void {
        if (blocked) {
            return;
        }
        this.bytesPassed += chunk.length;
        if (this.delayMs === 0) {
            to.write(chunk);
        }
        else {
            setTimeout(() => to.destroyed || to.write(chunk), this.delayMs);
        }
    }

    /** A close doesn't pass a blocked link either. */
    private closeLater(pair: Pair, other: Socket): void {
        if (pair.near.destroyed && pair.far.destroyed) {
            this.pairs.delete(pair);
        }
        if (!this.isBlocked(pair)) {
            // What was written before the close still has to go out.
            setTimeout(() => other.end(() => other.destroy()), this.delayMs);
        }
    }
}
