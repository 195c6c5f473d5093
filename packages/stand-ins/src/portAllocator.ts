import { createServer } from "node:net";

const FIRST_PORT = 12_000;
/** Below the range from which the system takes ports for outgoing connections. */
const LAST_PORT = 32_000;
const PORTS_PER_PROCESS = 2_000;
const BLOCKS = Math.floor((LAST_PORT - FIRST_PORT) / PORTS_PER_PROCESS);

/** Hands out free ports, from a block that depends on the process, so that parallel tests seldom meet. */
export class PortAllocator {
    private next = FIRST_PORT + process.pid % BLOCKS * PORTS_PER_PROCESS;

    /** A port that is free now. */
    async acquirePort(): Promise<number> {
        for (;;) {
            const port = this.next++;
            if (this.next > LAST_PORT) {
                this.next = FIRST_PORT;
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
