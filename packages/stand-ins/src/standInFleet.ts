import type { VmRecord } from "@sardinestage/types";
import { VmRole, VmState } from "@sardinestage/types";
import type { Server } from "node:http";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { DomainPlan } from "./domainPlan.js";
import type { InstallationPlan } from "./installationPlan.js";
import type { PortAllocator } from "./portAllocator.js";
import type { Recorder } from "./recorder.js";
import { serveJson } from "./serveJson.js";
import { serveTarget } from "./serveTarget.js";
import { StandInWorker } from "./standInWorker.js";

const TICK_MS = 20;

/** A stand-in worker, its record in the VM list, the faults of its targets, and its HTTP servers. */
interface FleetWorker {
    readonly worker: StandInWorker;
    readonly record: VmRecord;
    readonly faults: { failShare: number; silent: boolean; pickRandom: () => number };
    readonly servers: Server[];
}

/** Starts, runs and stops all workers of a stand-in installation. */
export class StandInFleet {
    readonly workers = new Map<string, FleetWorker>();
    private timer: NodeJS.Timeout | undefined;
    private readonly pickRandom: () => number;

    constructor(
        private readonly plan: InstallationPlan,
        private readonly portAllocator: PortAllocator,
        private readonly recorder: Recorder,
    ) {
        const random = xoroshiro128plus(plan.seed);
        this.pickRandom = () => uniformFloat64(random);
    }

    /** Starts every worker of the plan and the timer that advances their tasks. */
    async start(): Promise<void> {
        for (const domain of this.plan.domains) {
            for (let index = 0; index < domain.workers; index++) {
                await this.startWorker(domain, index, `${domain.domain}-w${index}`);
            }
        }
        let lastMs = performance.now();
        this.timer = setInterval(() => {
            const nowMs = performance.now();
            this.workers.forEach(({ worker }) => worker.run(nowMs - lastMs));
            lastMs = nowMs;
        }, TICK_MS);
    }

    /**
     * Starts one worker with a control server and a target server.
     *
     * @param index Position within the failure domain; decides the rack.
     */
    async startWorker(domain: DomainPlan, index: number, name: string): Promise<VmRecord> {
        const { workerCapacity, workerConnections, usageLagMs, interference } = this.plan;
        const worker = new StandInWorker({
            name,
            capacity: workerCapacity,
            connections: workerConnections,
            usageLagMs,
            interference,
            recorder: this.recorder,
        });
        const controlPort = await this.portAllocator.acquirePort();
        const servePort = await this.portAllocator.acquirePort();
        const faults = { failShare: 0, silent: false, pickRandom: this.pickRandom };
        const servers = [
            await serveJson(controlPort, (path, _query, body) => worker.handleCall(path, body)),
            await serveTarget(servePort, worker, faults),
        ];
        const record: VmRecord = {
            vm: name,
            role: VmRole.Worker,
            domain: domain.domain,
            region: domain.region,
            rack: `${domain.domain}-r${Math.floor(index / domain.workersPerRack)}`,
            state: VmState.Live,
            address: "127.0.0.1",
            controlPort,
            servePort,
            capacity: workerCapacity,
            connections: workerConnections,
        };
        this.workers.set(name, { worker, record, faults, servers });
        return record;
    }

    /** Finds a worker by its name; throws if there is none. */
    getWorker(name: string): FleetWorker {
        const found = this.workers.get(name);
        if (found === undefined) {
            throw new Error(`Worker ${name} does not exist or was stopped.`);
        }
        return found;
    }

    /** Simulates the death of a worker's VM: its tasks are lost and its servers close. */
    stopWorker(name: string): void {
        const { worker, servers } = this.getWorker(name);
        worker.reset();
        servers.forEach(closeServer);
        this.workers.delete(name);
    }

    /** Stops the timer and closes all servers. */
    close(): void {
        clearInterval(this.timer);
        this.workers.forEach(({ servers }) => servers.forEach(closeServer));
    }
}

function closeServer(server: Server): void {
    server.close();
    server.closeAllConnections();
}
