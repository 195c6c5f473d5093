import type { Server } from "node:net";
import { createServer } from "node:net";

const FIRST_PORT = 12_000;
/** Below the range from which the operating system takes ports for outgoing connections. */
const LAST_PORT = 32_000;
const PORTS_PER_BLOCK = 200;
const BLOCK_COUNT = Math.floor((LAST_PORT - FIRST_PORT) / PORTS_PER_BLOCK);

/**
 * Hands out free ports from blocks that are reserved for it. A port that is only found to be free could be handed out by
 * another process as well before it is used, and one of the two servers then couldn't start.
 */
export class PortAllocator {
    /** Each listens on the first port of a block, which stands for the reservation of the block. */
    private readonly reservations: Server[] = [];
    private nextPort = 0;
    private endPort = 0;
    private latest: Promise<number> = Promise.resolve(0);

    /** Returns a port of 127.0.0.1 that is free at the time of the call, and that no other allocator hands out. */
    acquirePort(): Promise<number> {
        this.latest = this.latest.then(() => this.findPort());
        return this.latest;
    }

    /** Lets other allocators hand out the ports. */
    close(): void {
        this.reservations.forEach(server => server.close());
    }

    private async findPort(): Promise<number> {
        for (;;) {
            if (this.nextPort === this.endPort) {
                await this.reserveBlock();
            }
            const port = this.nextPort++;
            const server = await tryListening(port);
            if (server !== undefined) {
                await new Promise(resolve => server.close(resolve));
                return port;
            }
        }
    }

    private async reserveBlock(): Promise<void> {
        for (let tries = 0; tries < BLOCK_COUNT; tries++) {
            const firstPort = FIRST_PORT + (process.pid + tries) % BLOCK_COUNT * PORTS_PER_BLOCK;
            const server = await tryListening(firstPort);
            if (server !== undefined) {
                this.reservations.push(server.unref());
                this.nextPort = firstPort + 1;
                this.endPort = firstPort + PORTS_PER_BLOCK;
                return;
            }
        }
        throw new Error(`All ${BLOCK_COUNT} blocks of ports are reserved: run fewer tests at a time.`);
    }
}

function tryListening(port: number): Promise<Server | undefined> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(undefined));
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}
