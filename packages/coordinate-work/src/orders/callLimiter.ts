/** Limits how many calls of a kind are under way at a time; further ones wait their turn. */
export class CallLimiter {
    private underWay = 0;
    private readonly waiting: (() => void)[] = [];

    constructor(private readonly maxUnderWay: number) {}

    /** Makes a call as soon as fewer than the maximum are under way. */
    async run<T>(call: () => Promise<T>): Promise<T> {
        if (this.underWay >= this.maxUnderWay) {
            await new Promise<void>(resolve => this.waiting.push(resolve));
        }
        else {
            this.underWay++;
        }
        try {
            return await call();
        }
        finally {
            const next = this.waiting.shift();
            if (next === undefined) {
                this.underWay--;
            }
            else {
                next();
            }
        }
    }
}
