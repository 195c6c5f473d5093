import type { Clock, WorkerAddress } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";
import { RelaySession } from "./relaySession.js";
import type { RelayVm } from "./relayVm.js";
import { SessionState } from "./sessionState.js";

/** Workers whose calls go through one relay: a small VM can make their calls beside its callers' requests. */
const MAX_WORKERS_PER_RELAY = 128;
/** Time for which a VM that failed as a relay isn't used again, in milliseconds. */
const RELAY_PAUSE_MS = 3000;
/** Time for which a worker that didn't answer a relay is called directly, in milliseconds. */
const DIRECT_CALLS_MS = 3000;
/** A worker that wasn't called for this long no longer counts, in milliseconds. */
const FORGET_WORKER_MS = 10_000;
/** Interval at which the VMs that can relay are listed again, in milliseconds. */
const LIST_INTERVAL_MS = 250;

/** Dependencies of a relay pool. */
interface RelayPoolParts {
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Lists the VMs that can relay now. */
    readonly listRelays: () => readonly RelayVm[];
    /** Up to this number of workers, all of them are called directly. */
    readonly maxDirectWorkers: number;
    /** Number of workers that the coordinator knows, most of which it may not have called yet. */
    readonly getWorkerCount: () => number;
    /** Creates a session with a relay; `onUnusable` is called when it takes no further calls. */
    readonly createSession: (relay: RelayVm, onUnusable: (reason: string) => void) => RelaySession;
}

/** A worker that was called recently. */
interface CalledWorker {
    calledAtMs: number;
    /** The session that the worker's calls go through. */
    session: RelaySession | undefined;
    /** Until when the worker is called directly, in steady milliseconds. */
    directUntilMs: number;
}

/** Chooses which relay calls a worker: one in the worker's failure domain, the strongest VMs first. */
export class RelayPool {
    private readonly workers = new Map<string, CalledWorker>();
    /** Sessions by VM. */
    private readonly sessions = new Map<string, RelaySession>();
    /** VMs that failed as relays, and until when they aren't used, in steady milliseconds. */
    private readonly pausedUntilMs = new Map<string, number>();
    private relays: readonly RelayVm[] = [];
    private listedAtMs = -Infinity;

    constructor(private readonly parts: RelayPoolParts) {}

    /**
     * Opens a session with the strongest relay of each failure domain, so that the first calls of a takeover don't have
     * to be made directly.
     */
    openSessions(): void {
        this.refreshLists(this.parts.clock.getNow());
        for (const domain of new Set(this.relays.map(relay => relay.domain))) {
            const strongest = this.relays.find(relay => relay.domain === domain);
            if (domain !== undefined && strongest !== undefined) {
                this.openSession(strongest);
            }
        }
    }

    /** Finds the session for a call to a worker; undefined if the worker has to be called directly. */
    findSession(address: WorkerAddress): RelaySession | undefined {
        const nowMs = this.parts.clock.getNow();
        this.refreshLists(nowMs);
        const worker = this.noteCalled(address.id, nowMs);
        const workerCount = Math.max(this.workers.size, this.parts.getWorkerCount());
        if (workerCount <= this.parts.maxDirectWorkers || nowMs < worker.directUntilMs) {
            return undefined;
        }
        if (worker.session?.state !== SessionState.Open) {
            this.setSession(worker, this.chooseSession(address.domain, nowMs));
        }
        return worker.session;
    }

    /** Notes that a worker didn't answer a relay, so that it is called directly for a while. */
    noteUnanswered(workerId: string): void {
        const worker = this.workers.get(workerId);
        if (worker !== undefined) {
            worker.directUntilMs = this.parts.clock.getNow() + DIRECT_CALLS_MS;
        }
    }

    private noteCalled(workerId: string, nowMs: number): CalledWorker {
        const worker = this.workers.get(workerId) ?? { calledAtMs: nowMs, session: undefined, directUntilMs: 0 };
        worker.calledAtMs = nowMs;
        this.workers.set(workerId, worker);
        return worker;
    }

    private setSession(worker: CalledWorker, session: RelaySession | undefined): void {
        if (worker.session !== undefined) {
            worker.session.workerCount--;
        }
        if (session !== undefined) {
            session.workerCount++;
        }
        worker.session = session;
    }

    private refreshLists(nowMs: number): void {
        if (nowMs - this.listedAtMs < LIST_INTERVAL_MS) {
            return;
        }
        this.listedAtMs = nowMs;
        this.relays = [...this.parts.listRelays()].sort((left, right) => right.strength - left.strength);
        const listed = new Set(this.relays.map(relay => relay.incarnation));
        for (const session of this.sessions.values()) {
            if (!listed.has(session.relay.incarnation)) {
                session.drain("unlisted");
            }
        }
        for (const [id, worker] of this.workers) {
            if (nowMs - worker.calledAtMs >= FORGET_WORKER_MS) {
                this.setSession(worker, undefined);
                this.workers.delete(id);
            }
        }
    }

    /** Chooses the strongest open relay of a domain with room for a worker; opens another session if none has. */
    private chooseSession(domain: string, nowMs: number): RelaySession | undefined {
        let leastUsed: RelaySession | undefined;
        for (const relay of this.relays) {
            if (relay.domain !== domain || nowMs < (this.pausedUntilMs.get(relay.vm) ?? 0)) {
                continue;
            }
            const session = this.sessions.get(relay.vm) ?? this.openSession(relay);
            if (session.state === SessionState.Opening) {
                break;
            }
            if (session.state === SessionState.Open && session.workerCount < MAX_WORKERS_PER_RELAY) {
                return session;
            }
            if (session.state === SessionState.Open && session.workerCount < (leastUsed?.workerCount ?? Infinity)) {
                leastUsed = session;
            }
        }
        return leastUsed;
    }

    private openSession(relay: RelayVm): RelaySession {
        const { clock, logger, createSession } = this.parts;
        const session = createSession(relay, reason => {
            logger.warn("relay-lost", { vm: relay.vm, reason, workers: session.workerCount });
            this.sessions.delete(relay.vm);
            this.pausedUntilMs.set(relay.vm, clock.getNow() + RELAY_PAUSE_MS);
        });
        this.sessions.set(relay.vm, session);
        void session.open().then(() => {
            if (session.state === SessionState.Open) {
                logger.info("relay-opened", { vm: relay.vm, workersIn: relay.domain });
            }
        });
        return session;
    }
}
