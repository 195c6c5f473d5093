import { RefusalReason } from "./refusalReason.js";
import type { WaitingRequest } from "./waitingRequest.js";

interface ServiceQueueOptions<Permit> {
    readonly maxQueued: number;
    /** Above this wait, the newest request goes first. */
    readonly targetQueueMs: number;
    /** Takes a free target, if there is one. */
    readonly tryAcquire: () => Permit | undefined;
    /** How many requests the service's targets take at once. */
    readonly getCapacity: () => number;
    /** How long one request takes, as estimated; milliseconds. */
    readonly estimateServiceMs: () => number;
    /** How far a team is towards its guaranteed share of the service; 1 and more is borrowing. */
    readonly computeTeamFill: (team: string) => number;
    readonly now: () => number;
}

/**
 * The short queue of one service. A request is let in only when it can be expected to make its deadline; under overload
 * the least urgent is refused first, teams within their guaranteed share go first, and the newest go before the old.
 */
export class ServiceQueue<Permit> {
    private waiting: WaitingRequest<Permit>[] = [];

    constructor(private readonly options: ServiceQueueOptions<Permit>) {}

    /** How many requests wait. */
    getLength(): number {
        return this.waiting.length;
    }

    /** Lets a request in at once, queues it, or refuses it. */
    admit(request: WaitingRequest<Permit>): void {
        const permit = this.waiting.length === 0 ? this.options.tryAcquire() : undefined;
        if (permit !== undefined) {
            request.admit(permit);
            return;
        }
        const ahead = this.waiting.filter(each => each.urgency >= request.urgency).length;
        if (!this.isReachable(request, ahead)) {
            request.refuse(
                this.options.getCapacity() === 0 ? RefusalReason.NoTarget : RefusalReason.DeadlineUnreachable,
            );
            return;
        }
        this.waiting.push(request);
        if (this.waiting.length > this.options.maxQueued) {
            this.refuseLeastUrgent(request);
        }
        this.admitWaiting();
    }

    /** Lets waiting requests in while there are free targets; called whenever a target may have become free. */
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

    /** Refuses what can't make its deadline any more. */
    expire(): void {
        const reachable = this.waiting.filter(each => this.isReachable(each, 0));
        const passed = this.waiting.filter(each => !reachable.includes(each));
        this.waiting = reachable;
        passed.forEach(each => each.refuse(RefusalReason.DeadlinePassed));
    }

    /** Gives up a request whose caller went away. */
    cancel(request: WaitingRequest<Permit>): void {
        this.waiting = this.waiting.filter(each => each !== request);
    }

    private isReachable(request: WaitingRequest<Permit>, ahead: number): boolean {
        const { getCapacity, estimateServiceMs, now } = this.options;
        const capacity = getCapacity();
        const serviceMs = estimateServiceMs();
        const waitMs = capacity === 0 ? 0 : ahead * serviceMs / capacity;
        return now() + waitMs + serviceMs <= request.deadlineAtMs && (capacity > 0 || ahead < this.options.maxQueued);
    }

    private refuseLeastUrgent(arrived: WaitingRequest<Permit>): void {
        const least = this.waiting.reduce((worst, each) => this.compare(each, worst) > 0 ? each : worst, arrived);
        this.waiting = this.waiting.filter(each => each !== least);
        least.refuse(least === arrived ? RefusalReason.QueueFull : RefusalReason.DisplacedByUrgent);
    }

    private chooseNext(): WaitingRequest<Permit> {
        return this.waiting.reduce((best, each) => this.compare(each, best) < 0 ? each : best);
    }

    /** Negative when `a` goes before `b`. */
    private compare(a: WaitingRequest<Permit>, b: WaitingRequest<Permit>): number {
        const borrowing = (request: WaitingRequest<Permit>) => this.options.computeTeamFill(request.team) >= 1 ? 1 : 0;
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
