/** A token bucket of bytes for the link to other failure domains. */
export class ByteBudget {
    private left: number;
    private refilledAtMs: number;

    /**
     * @param bytesPerSecond Bytes that may go out a second; as many may go out at once.
     * @param now Monotonic time in milliseconds.
     */
    constructor(private readonly bytesPerSecond: number, private readonly now: () => number) {
        this.left = bytesPerSecond;
        this.refilledAtMs = now();
    }

    /** Takes bytes, if the budget has any left; a single large request can overdraw it once. */
    tryAcquire(bytes: number): boolean {
        const nowMs = this.now();
        const gained = (nowMs - this.refilledAtMs) / 1000 * this.bytesPerSecond;
        this.left = Math.min(this.bytesPerSecond, this.left + gained);
        this.refilledAtMs = nowMs;
        if (this.left <= 0) {
            return false;
        }
        this.left -= bytes;
        return true;
    }
}
