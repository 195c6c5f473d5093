/**
 * Room for open jobs that is kept for callers with few of them. Callers are told apart by a key, such as their address,
 * and each may use only a share of what the others leave free, so that one alone can't use it up.
 */
export class ReservedRoom {
    /** Memory that all open jobs of a key take, in this room or elsewhere, in bytes. */
    private readonly bytesByKey = new Map<string, number>();
    private usedBytes = 0;

    /**
     * @param maxBytes The room, in bytes.
     * @param share Share of the free room that the open jobs of one key may take, this room's and others.
     */
    constructor(private readonly maxBytes: number, private readonly share: number) {}

    /** What the jobs in this room take, in bytes. */
    get heldBytes(): number {
        return this.usedBytes;
    }

    /** Whether a job fits in: the first one of a key, or a further one within the key's share. */
    hasRoom(key: string | undefined, bytes: number): boolean {
        const freeBytes = this.maxBytes - this.usedBytes;
        if (key === undefined || bytes > freeBytes) {
            return false;
        }
        const keyBytes = this.bytesByKey.get(key) ?? 0;
        return keyBytes === 0 || keyBytes + bytes <= freeBytes * this.share;
    }

    /** Changes the bytes of the jobs in this room. */
    holdBytes(change: number): void {
        this.usedBytes += change;
    }

    /** Changes the bytes of a key's open jobs, in this room or elsewhere. */
    noteBytes(key: string | undefined, change: number): void {
        if (key === undefined) {
            return;
        }
        const bytes = (this.bytesByKey.get(key) ?? 0) + change;
        if (bytes === 0) {
            this.bytesByKey.delete(key);
        }
        else {
            this.bytesByKey.set(key, bytes);
        }
    }
}
