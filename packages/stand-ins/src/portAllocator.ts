import { createServer } from "node:net";

const FIRST_PORT = 12_000;
/** Below the range from which the operating system takes ports for outgoing connections. */
const LAST_PORT = 32_000;
const PORTS_PER_BLOCK = 2_000;
const BLOCK_COUNT = Math.floor((LAST_PORT - FIRST_PORT) / PORTS_PER_BLOCK);

/** Hands out free ports, starting in a block chosen by process id, so that parallel tests rarely try the same port. */
export class PortAllocator {
    private nextPort = FIRST_PORT + process.pid % BLOCK_COUNT * PORTS_PER_BLOCK;

    /** Returns a port of 127.0.0.1 that is free at the time of the call; the port isn't reserved. */
    async acquirePort(): Promise<number> {
        for (;;) {
            const port = this.nextPort++;
            if (this.nextPort > LAST_PORT) {
                this.nextPort = FIRST_PORT;
            }
            if (await isFree(port)) {
                return port;
            }
        }
    }
}

function isFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
