/** How long the store has to tell a VM of a configuration before another VM does, in milliseconds. */
const TOLD_BY_STORE_MS = 500;

/** A version that a VM should have soon. */
interface Awaited {
    readonly version: number;
    readonly sinceMs: number;
}

/**
 * Decides when a configuration goes from one VM to another. The store tells all of them, so only one that stays behind
 * is sent it. Answers large configurations in quick succession, which would otherwise fill the coordinator's link.
 */
export class ConfigLag {
    private awaited: Awaited | undefined;

    /** Notes which version a VM has and which one another has. */
    note(version: number, otherVersion: number, nowMs: number): void {
        if (this.awaited !== undefined && version >= this.awaited.version) {
            this.awaited = undefined;
        }
        if (this.awaited === undefined && otherVersion > version) {
            this.awaited = { version: otherVersion, sinceMs: nowMs };
        }
    }

    /** Whether the VM has been behind for so long that the store can't be telling it. */
    isStale(nowMs: number): boolean {
        return this.awaited !== undefined && nowMs - this.awaited.sinceMs >= TOLD_BY_STORE_MS;
    }
}
