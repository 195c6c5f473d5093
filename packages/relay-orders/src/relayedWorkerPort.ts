import type {
    Clock,
    LeaseRenewal,
    LeaseReport,
    StartOrder,
    WorkerAddress,
    WorkerPort,
} from "@sardinestage/describe-ports";
import { OrderOutcome } from "@sardinestage/describe-ports";
import type { TaskRef } from "@sardinestage/describe-work";
import type { EventLogger } from "@sardinestage/log-events";
import { KeptEnds } from "./keptEnds.js";
import { KeptEndsCollector } from "./keptEndsCollector.js";
import type { RelayAnswer } from "./relayAnswer.js";
import type { RelayedCall } from "./relayedCall.js";
import { RelayedCallKind } from "./relayedCallKind.js";
import { RelayPool } from "./relayPool.js";
import type { RelayReply } from "./relayReply.js";
import type { RelayRequest } from "./relayRequest.js";
import { RelaySession } from "./relaySession.js";
import type { RelayVm } from "./relayVm.js";
import { SessionState } from "./sessionState.js";

/** Up to this number of workers, the coordinator calls all of them directly: relays would save little. */
const MAX_DIRECT_WORKERS = 64;

/** Dependencies of a relayed worker port. */
interface RelayedWorkerPortParts {
    /** Calls workers from this process. */
    readonly direct: WorkerPort;
    /** The coordinator's term. */
    readonly term: number;
    /** Id of this process, which makes the ids of its sessions unique. */
    readonly incarnation: string;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Lists the VMs that can relay now. */
    readonly listRelays: () => readonly RelayVm[];
    /** Number of workers that the coordinator knows. */
    readonly getWorkerCount: () => number;
    /** Up to this number of workers, all of them are called directly; by default 64. */
    readonly maxDirectWorkers?: number;
    /** Sends a request to a relay; returns undefined if no reply comes within the timeout. */
    readonly sendRequest: (
        relay: RelayVm,
        request: RelayRequest,
        timeoutMs: number,
    ) => Promise<RelayReply | undefined>;
    /** How long calls and answers are gathered before they are sent, in milliseconds. */
    readonly getGatherMs: () => number;
    /** Whether this process still holds the term; if not, no call is made. */
    readonly isTermHeld: () => boolean;
    /**
     * Whether no task may start on the workers of a failure domain, as may have become known since a start was handed to a
     * relay; by default none is evacuated.
     */
    readonly isEvacuated?: (domain: string) => boolean;
}

/**
 * Calls workers through relays where there are some. The calls of many workers share one frame, which costs the
 * coordinator a fraction of an HTTP call each. A call that a relay certainly didn't make is made directly.
 */
export class RelayedWorkerPort implements WorkerPort {
    /** Counts the sessions of all ports: a takeover that is tried again has another port in the same term. */
    private static sessionCount = 0;
    private readonly pool: RelayPool;
    /** Ends from closed sessions, and those that were handed out. */
    private readonly kept: KeptEnds;

    constructor(private readonly parts: RelayedWorkerPortParts) {
        const { incarnation } = parts;
        this.kept = new KeptEnds(parts.clock);
        const collector = new KeptEndsCollector(parts, this.kept);
        this.pool = new RelayPool({
            ...parts,
            maxDirectWorkers: parts.maxDirectWorkers ?? MAX_DIRECT_WORKERS,
            createSession: (relay, onUnusable) => {
                RelayedWorkerPort.sessionCount++;
                const id = `${incarnation}/${parts.term}/${RelayedWorkerPort.sessionCount}`;
                return new RelaySession({
                    ...parts,
                    relay,
                    id,
                    onUnusable,
                    onRenewalsUnanswered: workers => void collector.collectEnds(relay, id, workers),
                });
            },
        });
    }

    /** Opens sessions with relays ahead of the first calls. */
    openSessions(): void {
        this.pool.openSessions();
    }

    /** Starts a run. */
    async start(worker: WorkerAddress, order: StartOrder): Promise<OrderOutcome> {
        const call: RelayedCall = { kind: RelayedCallKind.Start, worker, order };
        const mayStart = () => this.parts.isEvacuated?.(worker.domain) !== true;
        return this.forwardOrder(
            call,
            () => mayStart() ? this.parts.direct.start(worker, order) : Promise.resolve(OrderOutcome.Unsent),
        );
    }

    /** Stops a run. */
    async stop(worker: WorkerAddress, task: TaskRef, run: number, fence: number): Promise<OrderOutcome> {
        const call: RelayedCall = { kind: RelayedCallKind.Stop, worker, task, run, fence };
        return this.forwardOrder(call, () => this.parts.direct.stop(worker, task, run, fence));
    }

    /** Sets the pace of a run, in percent of its full speed. */
    async pace(
        worker: WorkerAddress,
        task: TaskRef,
        run: number,
        percent: number,
        fence: number,
    ): Promise<OrderOutcome> {
        const call: RelayedCall = { kind: RelayedCallKind.Pace, worker, task, run, percent, fence };
        return this.forwardOrder(call, () => this.parts.direct.pace(worker, task, run, percent, fence));
    }

    /** Renews a worker's lease and reads its active and ended runs. */
    async renewLease(worker: WorkerAddress, order: LeaseRenewal): Promise<LeaseReport> {
        return this.addKeptEnds(worker.id, await this.forwardRenewal(worker, order));
    }

    /**
     * Adds ends that a worker has told a relay to its answer, unless that is a report of the same life, which lists
     * them itself. With ends of another life the answer is no report: the next renewal brings that of its own life.
     */
    private addKeptEnds(workerId: string, report: LeaseReport): LeaseReport {
        if (report.outcome === OrderOutcome.Accepted) {
            const earlier = this.kept.takeEnds(workerId, report.bornMs);
            if (earlier === undefined) {
                return report;
            }
            this.kept.remember(workerId, report.bornMs, report.ended);
            const { bornMs, ended } = earlier;
            return { outcome: OrderOutcome.Unknown, clockMs: 0, bornMs, running: [], ended };
        }
        this.kept.remember(workerId, report.bornMs, report.ended);
        const { bornMs, ended } = this.kept.takeEnds(workerId) ?? { bornMs: report.bornMs, ended: [] };
        return { ...report, bornMs, ended };
    }

    private async forwardRenewal(worker: WorkerAddress, order: LeaseRenewal): Promise<LeaseReport> {
        const answer = await this.forwardCall({ kind: RelayedCallKind.RenewLease, worker, order });
        if (answer === undefined && this.parts.isTermHeld()) {
            return this.parts.direct.renewLease(worker, order);
        }
        const outcome = answer?.outcome ?? OrderOutcome.Unknown;
        return answer?.report ?? { outcome, clockMs: 0, bornMs: 0, running: [], ended: [] };
    }

    private async forwardOrder(call: RelayedCall, callDirectly: () => Promise<OrderOutcome>): Promise<OrderOutcome> {
        const answer = await this.forwardCall(call);
        if (answer === undefined) {
            return this.parts.isTermHeld() ? callDirectly() : OrderOutcome.Unhealthy;
        }
        return answer.outcome;
    }

    /** Has a relay make a call; returns undefined if none does. */
    private async forwardCall(call: RelayedCall): Promise<RelayAnswer | undefined> {
        const session = this.pool.findSession(call.worker);
        const answer = await session?.forwardCall(call);
        const isRelayAlive = session !== undefined && session.state !== SessionState.Closed;
        if (answer?.outcome === OrderOutcome.Unknown && isRelayAlive) {
            this.pool.noteUnanswered(call.worker.id);
        }
        return answer;
    }
}
