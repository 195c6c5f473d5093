import { FaultProxy } from "./faultProxy.js";
import { LinkFault } from "./linkFault.js";
import type { PortAllocator } from "./portAllocator.js";

interface Link {
    readonly from: string;
    readonly to: string;
    readonly proxy: FaultProxy;
    readonly port: number;
}

/**
 * Proxied links between VMs, and from VMs to the platform. Each link belongs to one connecting VM and one port. Delays
 * and faults of a link don't affect links in the opposite direction.
 */
export class LinkNetwork {
    private readonly links = new Map<string, Link>();

    constructor(private readonly portAllocator: PortAllocator) {}

    /**
     * Opens a link, or returns the existing one.
     *
     * @param from The VM that connects.
     * @param to The VM or service to which `from` connects.
     * @param toPort The port on which `to` listens.
     * @param delayMs One-way delay in milliseconds.
     * @returns The port of the link's proxy, to which `from` connects.
     */
    async openLink(from: string, to: string, toPort: number, delayMs: number): Promise<number> {
        const key = `${from}>${to}:${toPort}`;
        const known = this.links.get(key);
        if (known !== undefined) {
            return known.port;
        }
        const proxy = new FaultProxy(toPort, delayMs);
        const port = await this.portAllocator.acquirePort();
        await proxy.listen(port);
        this.links.set(key, { from, to, proxy, port });
        return port;
    }

    /** Returns the proxy port of a link, or the real port if there is no link. */
    resolvePort(from: string, to: string, toPort: number): number {
        return this.links.get(`${from}>${to}:${toPort}`)?.port ?? toPort;
    }

    /** Sets the fault of each matching link; `from` is the VM that connects, `to` the VM or service connected to. */
    setFault(fault: LinkFault, matches: (from: string, to: string) => boolean): void {
        for (const link of this.links.values()) {
            if (matches(link.from, link.to)) {
                link.proxy.setFault(fault);
            }
        }
    }

    /** Sums the bytes that all links have forwarded, in both directions. */
    countForwardedBytes(): number {
        return [...this.links.values()].reduce((sum, { proxy }) => sum + proxy.bytesForwarded, 0);
    }

    /** Ends the faults of all links. */
    reset(): void {
        this.setFault(LinkFault.None, () => true);
    }

    /** Closes all links. */
    close(): void {
        for (const { proxy } of this.links.values()) {
            proxy.close();
        }
    }
}
