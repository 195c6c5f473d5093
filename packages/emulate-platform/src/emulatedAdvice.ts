import type { AdviceAnswer, AdvicePort, Clock } from "@sardinestage/describe-ports";
import { waitFor } from "@sardinestage/describe-ports";
import type { AdviceFaults } from "./adviceFaults.js";

/** Calls that may wait at the service, beside the one that it handles; further ones are refused. */
const MAX_WAITING_CALLS = 32;
/** Connections of the caller; further calls wait for one. */
const CONNECTIONS = 2;

/** How long the service takes, and how long its tickets are valid, in milliseconds. */
interface AdviceTimes {
    readonly decideMs: number;
    readonly eachMs: number;
    readonly validMs: number;
}

/** An emulated advice service, which handles one call after the other, and the caller's connections to it. */
export class EmulatedAdvice implements AdvicePort {
    readonly faults: AdviceFaults = { isSilent: false, isRefusing: false };
    /** The number of calls that the service has handled. */
    handledCalls = 0;
    private ticketCount = 0;
    private readonly tickets = new Map<string, { readonly key: string; readonly untilMs: number }>();
    private openCalls = 0;
    private readonly waitingForConnection: (() => void)[] = [];
    private waitingAtService = 0;
    private freeAtMs = 0;

    /** @param isPermitted Whether a step, by its job, may run on a worker. */
    constructor(
        private readonly clock: Clock,
        public times: AdviceTimes,
        private readonly isPermitted: (jobId: string, workerId: string) => boolean = () => true,
    ) {}

    /** Handles a call in turn. The caller gives up after the timeout; the service doesn't notice. */
    async requestTickets(
        jobId: string,
        occurrence: number,
        step: number,
        workers: readonly string[],
        timeoutMs: number,
    ): Promise<AdviceAnswer> {
        const timeout = waitFor(this.clock, timeoutMs).then(() => createFailure());
        return Promise.race([timeout, this.sendCall(`${jobId}/${occurrence}/${step}`, jobId, workers)]);
    }

    /** Whether a ticket lets a step start on a worker now. */
    isValid(ticket: string, jobId: string, occurrence: number, step: number, workerId: string): boolean {
        const found = this.tickets.get(ticket);
        return found !== undefined && found.untilMs > this.clock.getNow()
            && found.key === `${jobId}/${occurrence}/${step}@${workerId}`;
    }

    private async sendCall(stepKey: string, jobId: string, workers: readonly string[]): Promise<AdviceAnswer> {
        if (this.openCalls >= CONNECTIONS) {
            await new Promise<void>(resolve => this.waitingForConnection.push(resolve));
        }
        this.openCalls++;
        const answer = await this.handleCall(stepKey, jobId, workers);
        this.openCalls--;
        this.waitingForConnection.shift()?.();
        return answer;
    }

    private async handleCall(stepKey: string, jobId: string, workers: readonly string[]): Promise<AdviceAnswer> {
        const { clock, times } = this;
        if (this.faults.isRefusing || this.waitingAtService >= MAX_WAITING_CALLS) {
            await waitFor(clock, 1);
            return createFailure();
        }
        this.waitingAtService++;
        this.freeAtMs = Math.max(this.freeAtMs, clock.getNow()) + times.decideMs + times.eachMs * workers.length;
        await waitFor(clock, this.freeAtMs - clock.getNow());
        this.waitingAtService--;
        while (this.faults.isSilent) {
            await waitFor(clock, 10);
        }
        this.handledCalls++;
        const untilMs = clock.getNow() + times.validMs;
        const tickets = workers.filter(workerId => this.isPermitted(jobId, workerId)).map(workerId => {
            const ticket = `ticket${++this.ticketCount}`;
            this.tickets.set(ticket, { key: `${stepKey}@${workerId}`, untilMs });
            return { workerId, ticket };
        });
        return { tickets, validMs: times.validMs };
    }
}

function createFailure(): AdviceAnswer {
    return { tickets: undefined, validMs: 0 };
}
