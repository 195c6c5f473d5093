/** A token bucket that limits the bytes sent to other regions. */
export class ByteBudget {
    private remainingBytes: number;
    private refilledAtMs: number;

    /**
     * @param bytesPerSecond Refill rate in bytes per second. The capacity of the bucket is the refill of one second.
     * @param now Returns monotonic time in milliseconds.
     */
    constructor(private readonly bytesPerSecond: number, private readonly now: () => number) {
        this.remainingBytes = bytesPerSecond;
        this.refilledAtMs = now();
    }

    /** Takes bytes if any are left. A large request may overdraw the budget; later ones fail until the refill. */
    tryAcquire(bytes: number): boolean {
        const nowMs = this.now();
        const refilled = (nowMs - this.refilledAtMs) / 1000 * this.bytesPerSecond;
        this.remainingBytes = Math.min(this.bytesPerSecond, this.remainingBytes + refilled);
        this.refilledAtMs = nowMs;
        if (this.remainingBytes <= 0) {
            return false;
        }
        this.remainingBytes -= bytes;
        return true;
    }
}
