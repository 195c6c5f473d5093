import { RefusalReason } from "./refusalReason.js";
import type { WaitingRequest } from "./waitingRequest.js";

interface ServiceQueueOptions<Permit> {
    /** Most requests that may wait. */
    readonly maxQueued: number;
    /** When the oldest request has waited longer than this, in milliseconds, the newest goes first. */
    readonly targetQueueMs: number;
    /** Acquires a free target, if there is one. */
    readonly tryAcquire: () => Permit | undefined;
    /** Returns how many requests the service's targets can run at once. */
    readonly getCapacity: () => number;
    /** Estimates how long one request runs, in milliseconds. */
    readonly estimateServiceMs: () => number;
    /** Returns the ratio of a team's requests in flight to its guaranteed share. At 1 or more the team is borrowing. */
    readonly computeGuaranteedShareUse: (team: string) => number;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
}

/**
 * The bounded queue of one service. A request is queued only if it is expected to meet its deadline. Teams within their
 * guaranteed share go first, then the more urgent requests, then the older ones; under overload the newest go before
 * the oldest. When the queue is full, the lowest-ranked request is refused.
 */
export class ServiceQueue<Permit> {
    private waiting: WaitingRequest<Permit>[] = [];

    constructor(private readonly options: ServiceQueueOptions<Permit>) {}

    /** Returns the number of waiting requests. */
    getLength(): number {
        return this.waiting.length;
    }

    /** Admits a request at once, queues it, or refuses it. */
    admit(request: WaitingRequest<Permit>): void {
        const permit = this.waiting.length === 0 ? this.options.tryAcquire() : undefined;
        if (permit !== undefined) {
            request.admit(permit);
            return;
        }
        const ahead = this.waiting.filter(each => each.urgency >= request.urgency).length;
        if (!this.isDeadlineReachable(request, ahead)) {
            request.refuse(
                this.options.getCapacity() === 0 ? RefusalReason.NoTarget : RefusalReason.DeadlineUnreachable,
            );
            return;
        }
        this.waiting.push(request);
        if (this.waiting.length > this.options.maxQueued) {
            this.refuseLowestRanked(request);
        }
        this.admitWaiting();
    }

    /** Admits waiting requests while there are free targets. Called whenever a target may have become free. */
    admitWaiting(): void {
        this.expire();
        while (this.waiting.length > 0) {
            const permit = this.options.tryAcquire();
            if (permit === undefined) {
                return;
            }
            const next = this.chooseNext();
            this.waiting = this.waiting.filter(each => each !== next);
            next.admit(permit);
        }
    }

    /** Refuses waiting requests that can no longer meet their deadline. */
    expire(): void {
        const reachable = this.waiting.filter(each => this.isDeadlineReachable(each, 0));
        const passed = this.waiting.filter(each => !reachable.includes(each));
        this.waiting = reachable;
        passed.forEach(each => each.refuse(RefusalReason.DeadlinePassed));
    }

    /** Removes a request whose caller has disconnected, without calling `refuse`. */
    cancel(request: WaitingRequest<Permit>): void {
        this.waiting = this.waiting.filter(each => each !== request);
    }

    /** Whether the request is expected to finish by its deadline with `ahead` requests before it. */
    private isDeadlineReachable(request: WaitingRequest<Permit>, ahead: number): boolean {
        const { getCapacity, estimateServiceMs, now } = this.options;
        const capacity = getCapacity();
        const serviceMs = estimateServiceMs();
        const waitMs = capacity === 0 ? 0 : ahead * serviceMs / capacity;
        return now() + waitMs + serviceMs <= request.deadlineAtMs && (capacity > 0 || ahead < this.options.maxQueued);
    }

    private refuseLowestRanked(arrived: WaitingRequest<Permit>): void {
        const lowest = this.waiting.reduce(
            (candidate, each) => this.compare(each, candidate) > 0 ? each : candidate,
            arrived,
        );
        this.waiting = this.waiting.filter(each => each !== lowest);
        lowest.refuse(lowest === arrived ? RefusalReason.QueueFull : RefusalReason.DisplacedByUrgent);
    }

    private chooseNext(): WaitingRequest<Permit> {
        return this.waiting.reduce((best, each) => this.compare(each, best) < 0 ? each : best);
    }

    /** Returns a negative number if `a` goes before `b`. */
    private compare(a: WaitingRequest<Permit>, b: WaitingRequest<Permit>): number {
        const borrowing = (request: WaitingRequest<Permit>) =>
            this.options.computeGuaranteedShareUse(request.team) >= 1 ? 1 : 0;
        const byShare = borrowing(a) - borrowing(b);
        if (byShare !== 0) {
            return byShare;
        }
        const byUrgency = b.urgency - a.urgency;
        if (byUrgency !== 0) {
            return byUrgency;
        }
        const oldestWaitMs = this.options.now() - this.waiting[0].queuedAtMs;
        const newestFirst = oldestWaitMs > this.options.targetQueueMs;
        return newestFirst ? b.queuedAtMs - a.queuedAtMs : a.queuedAtMs - b.queuedAtMs;
    }
}
