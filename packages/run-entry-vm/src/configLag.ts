/** How long the store has to tell a VM of a configuration before another VM does, in milliseconds. */
const STORE_DELIVERY_MS = 500;

/** A version that a VM should have soon. */
interface ExpectedVersion {
    readonly version: number;
    readonly sinceMs: number;
}

/**
 * Decides when a configuration goes from one VM to another. The store tells all of them, so only one that stays behind
 * is sent it. Answers large configurations in quick succession, which would otherwise fill the coordinator's link.
 */
export class ConfigLag {
    private expected: ExpectedVersion | undefined;

    /** Notes which version a VM has and which one another has. */
    noteVersions(version: number, otherVersion: number, nowMs: number): void {
        if (this.expected !== undefined && version >= this.expected.version) {
            this.expected = undefined;
        }
        if (this.expected === undefined && otherVersion > version) {
            this.expected = { version: otherVersion, sinceMs: nowMs };
        }
    }

    /** Whether the VM has been behind for so long that the store can't be telling it. */
    isStale(nowMs: number): boolean {
        return this.expected !== undefined && nowMs - this.expected.sinceMs >= STORE_DELIVERY_MS;
    }
}
