import { FaultProxy } from "./faultProxy.js";
import { LinkFault } from "./linkFault.js";
import type { PortAllocator } from "./portAllocator.js";

interface Link {
    readonly from: string;
    readonly to: string;
    readonly proxy: FaultProxy;
    readonly port: number;
}

/** The proxied links between the VMs and the platform; each can be delayed, cut and silenced in one direction of use. */
export class LinkNetwork {
    private readonly links = new Map<string, Link>();

    constructor(private readonly ports: PortAllocator) {}

    /**
     * Makes a link.
     *
     * @param from The VM that connects.
     * @param to The VM or service that is connected to.
     * @returns The port to connect to.
     */
    async openLink(from: string, to: string, toPort: number, delayMs: number): Promise<number> {
        const key = `${from}>${to}:${toPort}`;
        const known = this.links.get(key);
        if (known !== undefined) {
            return known.port;
        }
        const proxy = new FaultProxy(toPort, delayMs);
        const port = await this.ports.acquirePort();
        await proxy.listen(port);
        this.links.set(key, { from, to, proxy, port });
        return port;
    }

    /** The port of a link, or the real port when there is no link. */
    resolvePort(from: string, to: string, toPort: number): number {
        return this.links.get(`${from}>${to}:${toPort}`)?.port ?? toPort;
    }

    /** Brings about a fault on each link that matches, in the direction in which it is connected. */
    setFault(fault: LinkFault, matches: (from: string, to: string) => boolean): void {
        for (const link of this.links.values()) {
            if (matches(link.from, link.to)) {
                link.proxy.setFault(fault);
            }
        }
    }

    /** Bytes that all links have passed on. */
    countBytes(): number {
        return [...this.links.values()].reduce((sum, { proxy }) => sum + proxy.bytesPassed, 0);
    }

    /** Ends all faults. */
    reset(): void {
        this.setFault(LinkFault.None, () => true);
    }

    /** Closes everything. */
    close(): void {
        for (const { proxy } of this.links.values()) {
            proxy.close();
        }
    }
}
