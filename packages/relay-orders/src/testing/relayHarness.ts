import type { WorkerAddress, WorkerPort } from "@sardinestage/describe-ports";
import { waitFor } from "@sardinestage/describe-ports";
import {
    createRandom,
    EmulatedFleet,
    EmulatedWorker,
    RunInvariantChecker,
    VirtualClock,
} from "@sardinestage/emulate-platform";
import { OrderRelay } from "../orderRelay.js";
import { RelayedWorkerPort } from "../relayedWorkerPort.js";
import type { RelayReply } from "../relayReply.js";
import type { RelayRequest } from "../relayRequest.js";

const ONE_WAY_MS = 1;
const RUN_MS = 60_000;

/** An emulated relay and its faults. */
interface EmulatedRelay {
    readonly relay: OrderRelay;
    /** Whether requests get no answer, though they are carried out. */
    isSilent: boolean;
    /** How late requests arrive, in milliseconds. */
    lateMs: number;
    /** How late the relay's event loop is, in milliseconds. */
    loopDelayMs: number;
    /** Whether the relay is of the version that knew no fencing tokens but the term. */
    isEarlierVersion: boolean;
    readonly strength: number;
    readonly domain: string;
}

/** Worker ports of coordinators, emulated relays and emulated workers, on a virtual clock. */
export class RelayHarness {
    readonly clock = new VirtualClock();
    readonly fleet: EmulatedFleet;
    readonly relays = new Map<string, EmulatedRelay>();
    readonly events: string[] = [];
    /** Ids of the workers called, in order, by who called them. */
    readonly calls = { direct: [] as string[], relayed: [] as string[] };
    /** The fencing tokens of the changes of pace that reached workers. */
    readonly paceFences: number[] = [];
    requests = 0;
    /** The newest term that the relays' processes know. */
    knownTerm = 0;
    /** The failure domains that are evacuated. */
    readonly evacuated = new Set<string>();

    constructor(workerCount: number) {
        this.fleet = new EmulatedFleet(this.clock, createRandom(1));
        const checker = new RunInvariantChecker(() => this.clock.getNow(), () => []);
        for (let index = 0; index < workerCount; index++) {
            const id = `w${index}`;
            this.fleet.workers.set(id, new EmulatedWorker(id, this.clock, checker, () => RUN_MS));
        }
    }

    /** Adds a VM that relays calls. */
    addRelay(vm: string, strength = 1, domain = "here"): EmulatedRelay {
        const relay: EmulatedRelay = {
            relay: new OrderRelay({
                workers: this.createPort(this.calls.relayed),
                clock: this.clock,
                logger: this.createLogger(),
                getLoopDelay: () => relay.loopDelayMs,
                getKnownTerm: () => this.knownTerm,
            }),
            isSilent: false,
            lateMs: 0,
            loopDelayMs: 0,
            isEarlierVersion: false,
            strength,
            domain,
        };
        this.relays.set(vm, relay);
        return relay;
    }

    /** Creates the port of a coordinator. */
    createCoordinatorPort(term: number, maxDirectWorkers: number): RelayedWorkerPort {
        return new RelayedWorkerPort({
            direct: this.createPort(this.calls.direct),
            term,
            incarnation: `coordinator-${term}`,
            clock: this.clock,
            logger: this.createLogger(),
            maxDirectWorkers,
            getWorkerCount: () => 0,
            listRelays: () =>
                [...this.relays].map(([vm, { strength, domain }]) => ({
                    vm,
                    incarnation: vm,
                    host: vm,
                    port: 1,
                    strength,
                    domain,
                })),
            sendRequest: ({ vm }, request, timeoutMs) => this.sendRequest(vm, request, timeoutMs),
            getGatherMs: () => 2,
            isTermHeld: () => true,
            isEvacuated: domain => this.evacuated.has(domain),
        });
    }

    /** Renews the leases of all workers once, and returns the outcomes by worker. */
    async renewAll(port: WorkerPort, fence: number): Promise<number[]> {
        const order = {
            fence,
            lastRecordedEnd: 0,
            leaseUntilMs: this.clock.getNow() + 4500,
            waitMs: 0,
            bornMs: undefined,
        };
        const renewals = [...this.fleet.workers.keys()].map(id => port.renewLease(createAddress(id), order));
        const outcomes = Promise.all(renewals).then(reports => reports.map(report => report.outcome));
        await this.clock.runFor(3500);
        return outcomes;
    }

    private async sendRequest(vm: string, request: RelayRequest, timeoutMs: number): Promise<RelayReply | undefined> {
        const relay = this.relays.get(vm);
        this.requests++;
        const reply = waitFor(this.clock, ONE_WAY_MS + (relay?.lateMs ?? 0))
            .then(() => relay?.relay.handleRequest(relay.isEarlierVersion ? dropFences(request) : request))
            .then(answer =>
                answer === undefined || !relay?.isEarlierVersion
                    ? answer
                    : { ...answer, carriesFences: undefined, keptEnds: undefined }
            );
        const isInTime = !relay?.isSilent && relay !== undefined;
        return Promise.race([
            isInTime ? reply : new Promise<undefined>(() => undefined),
            waitFor(this.clock, timeoutMs).then(() => undefined),
        ]);
    }

    private createPort(called: string[]): WorkerPort {
        const { fleet } = this;
        return {
            start: (worker, order) => {
                called.push(worker.id);
                return fleet.start(worker, order);
            },
            stop: (worker, task, run, fence) => fleet.stop(worker, task, run, fence),
            pace: (_worker, _task, _run, _percent, fence) => {
                this.paceFences.push(fence);
                return fleet.pace();
            },
            renewLease: (worker, order) => {
                called.push(worker.id);
                return fleet.renewLease(worker, order);
            },
        };
    }

    private createLogger() {
        const write = (event: string, fields: object | undefined) => {
            this.events.push(`${event} ${JSON.stringify(fields)}`);
        };
        return { info: write, warn: write, error: write };
    }
}

/** What a relay of the earlier version reads of a request: the rows' first values, by the kind of the call. */
function dropFences(request: RelayRequest): RelayRequest {
    const lengths = [8, 9, 10, 13];
    const calls = (request.calls as unknown[][]).map(row => row.slice(0, lengths[Number(row[1])]));
    return { ...request, calls, endsOf: undefined };
}

function createAddress(id: string): WorkerAddress {
    return { id, address: id, domain: "here" };
}
