import type { Task } from "@sardinestage/track-jobs";
import type { ReportRequest } from "../renewals/reportRequest.js";

/**
 * Tells which life of a worker its orders are meant for, and which reports settle them. A worker process that starts
 * again under its id knows nothing of before: it may carry out orders that were sent to the former process, and a
 * report may be applied after orders that the worker got later.
 *
 * So all orders to a life carry a fencing token of its own, within the coordinator's term. The worker refuses orders
 * with a lower token than it has seen. A report that was asked for with the life's token therefore shows all that has
 * become of orders with lower tokens.
 */
export class WorkerLife {
    private answeredBornMs = 0;
    private token: number;
    /** Whether the token was sent with a start, so that the next life needs a higher one. */
    private isTokenUsed = false;
    private isTokenDue = false;

    /**
     * @param getNewestFence Returns the newest fencing token of the term. It rises while the term lasts, and is lower
     *   than all tokens of later terms.
     */
    constructor(private readonly getNewestFence: () => number) {
        this.token = getNewestFence();
    }

    /** When the life began that answered last, in Unix milliseconds; 0 before the first answer. */
    get bornMs(): number {
        return this.answeredBornMs;
    }

    /** The fencing token of all orders to the worker. */
    get fence(): number {
        return this.token;
    }

    /** Notes that a start is sent. Returns its fencing token. */
    noteStartSent(): number {
        this.isTokenUsed = true;
        return this.token;
    }

    /**
     * Notes that a call got no answer. The worker may have restarted, and then the first call that reaches its next life
     * has to bring a higher token.
     */
    noteSilence(): void {
        if (this.isTokenUsed) {
            this.updateToken();
        }
    }

    /** Notes which life answered. Returns whether it is another one than the one that answered before. */
    noteAnswer(bornMs: number): boolean {
        const isOther = this.answeredBornMs !== 0 && this.answeredBornMs !== bornMs;
        this.answeredBornMs = bornMs;
        this.isTokenDue ||= isOther && this.isTokenUsed;
        if (this.isTokenDue) {
            this.isTokenDue = !this.updateToken();
        }
        return isOther;
    }

    /** Whether a report comes from the present life, and after the worker has refused all orders for former ones. */
    isReportedBy(request: ReportRequest): boolean {
        return !this.isTokenDue && request.fence === this.token;
    }

    /** Raises the token; false if the term has no newer one yet. */
    private updateToken(): boolean {
        const newest = this.getNewestFence();
        const isNewer = newest > this.token;
        if (isNewer) {
            this.token = newest;
            this.isTokenUsed = false;
        }
        return isNewer;
    }

    /** Whether a report proves what has become of the newest order to start or stop a task's run. */
    static isSettledBy(task: Task, request: ReportRequest): boolean {
        return !task.isStartUnderWay
            && (task.orderFence < request.fence || task.orderSettledAtMs < request.sentAtMs);
    }
}
