/** How long a VM waits for a new configuration from the store before another VM sends it, in milliseconds. */
const STORE_DELIVERY_MS = 500;

/** A version that the VM is about to receive from the store. */
interface ExpectedVersion {
    readonly version: number;
    readonly sinceMs: number;
}

/**
 * Decides when one VM sends its configuration to another. Every VM reads configurations from the store, so only a VM
 * that stays behind for a while is sent one. Otherwise large configurations in quick succession would fill the
 * coordinator's network link.
 */
export class ConfigLag {
    private expected: ExpectedVersion | undefined;

    /** Notes the VM's version and the version of the other VM that it is compared to. */
    noteVersions(version: number, otherVersion: number, nowMs: number): void {
        if (this.expected !== undefined && version >= this.expected.version) {
            this.expected = undefined;
        }
        if (this.expected === undefined && otherVersion > version) {
            this.expected = { version: otherVersion, sinceMs: nowMs };
        }
    }

    /** Whether the VM has been behind for longer than the store takes to deliver a version. */
    isStale(nowMs: number): boolean {
        return this.expected !== undefined && nowMs - this.expected.sinceMs >= STORE_DELIVERY_MS;
    }
}
