import type { VmRecord } from "@sardinestage/types";
import { VmRole, VmState } from "@sardinestage/types";
import got from "got";
import { mkdtempSync, rmSync } from "node:fs";
import type { Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { buildSettings } from "./buildSettings.js";
import type { DomainPlan } from "./domainPlan.js";
import type { EntryVm } from "./entryVm.js";
import type { InstallationPlan } from "./installationPlan.js";
import { LinkNetwork } from "./linkNetwork.js";
import { ManagedProcess } from "./managedProcess.js";
import { PortAllocator } from "./portAllocator.js";
import { Recorder } from "./recorder.js";
import { serveJson } from "./serveJson.js";
import { StandInFleet } from "./standInFleet.js";
import { StandInLog } from "./standInLog.js";
import { StandInVmList } from "./standInVmList.js";
import { waitUntil } from "./waitUntil.js";

const PLATFORM = "platform";
const START_TIMEOUT_MS = 20_000;

/**
 * A whole installation on one machine. Platform, workers, targets and network are simulated in this process; the
 * product's entries, schedulers and administration run as separate processes.
 */
export class Installation {
    readonly recorder = new Recorder();
    readonly log: StandInLog;
    readonly list: StandInVmList;
    readonly fleet: StandInFleet;
    readonly network: LinkNetwork;
    readonly entryVms = new Map<string, EntryVm>();
    private readonly portAllocator = new PortAllocator();
    private readonly directory = mkdtempSync(join(tmpdir(), "sardinestage-"));
    private platformServer: Server | undefined;
    private platformPort = 0;

    constructor(readonly plan: InstallationPlan) {
        this.log = new StandInLog(plan);
        this.network = new LinkNetwork(this.portAllocator);
        this.list = new StandInVmList(plan.listLagMs, (readerVm, record) => this.resolveProxyPorts(readerVm, record));
        this.fleet = new StandInFleet(plan, this.portAllocator, this.recorder);
    }

    /** Starts everything and waits until all processes answer successfully on their metrics port. */
    async start(): Promise<void> {
        this.platformPort = await this.portAllocator.acquirePort();
        this.platformServer = await serveJson(this.platformPort, (path, query, body) =>
            path === "/vms"
                ? this.answerList(query.get("view") ?? "")
                : this.log.handleCall(path, query, body));
        await this.fleet.start();
        this.fleet.workers.forEach(({ record }) => this.list.setVm(record));
        for (const domain of this.plan.domains) {
            for (let index = 0; index < domain.entryVms; index++) {
                await this.addEntryVm(domain, `${domain.domain}-e${index}`);
            }
        }
        for (const vm of this.entryVms.values()) {
            await this.openLinks(vm);
            this.startProcesses(vm);
        }
        await Promise.all([...this.entryVms.values()].map(vm => this.waitUntilStarted(vm)));
    }

    /** Adds an entry VM to a running installation, for example as a replacement for one that died. */
    async startEntryVm(domain: DomainPlan, name: string): Promise<EntryVm> {
        const vm = await this.addEntryVm(domain, name);
        for (const each of this.entryVms.values()) {
            await this.openLinks(each);
        }
        this.startProcesses(vm);
        await this.waitUntilStarted(vm);
        return vm;
    }

    /** Finds an entry VM by its name; throws if there is none. */
    getEntryVm(name: string): EntryVm {
        const vm = this.entryVms.get(name);
        if (vm === undefined) {
            throw new Error(`Entry VM ${name} does not exist or was stopped.`);
        }
        return vm;
    }

    /** Simulates the death of an entry VM: kills all its processes. The VM list drops the VM after the list's lag. */
    stopEntryVm(name: string): void {
        const vm = this.getEntryVm(name);
        for (const process of [vm.entry, vm.scheduler, vm.admin]) {
            process.sendSignal("SIGKILL");
        }
        this.entryVms.delete(name);
        this.list.removeVm(name);
    }

    /** Simulates the death of a worker's VM. */
    stopWorker(name: string): void {
        this.fleet.stopWorker(name);
        this.list.removeVm(name);
    }

    /** Sets a VM's state in the platform's list to leaving. */
    setLeaving(name: string): void {
        const record = this.list.getCurrentVms().find(vm => vm.vm === name);
        if (record !== undefined) {
            this.list.setVm({ ...record, state: VmState.Leaving });
        }
    }

    /** Fetches the status of one process. */
    async readStatus(metricsPort: number): Promise<Record<string, unknown>> {
        return await got(`http://127.0.0.1:${metricsPort}/status`, { retry: { limit: 0 } }).json();
    }

    /** Fetches the metrics of one process, in text form. */
    async readMetrics(metricsPort: number): Promise<string> {
        return await got(`http://127.0.0.1:${metricsPort}/metrics`, { retry: { limit: 0 } }).text();
    }

    /** Stops everything and removes settings and logs; `SARDINESTAGE_KEEP_LOGS` in the environment keeps them. */
    async close(): Promise<void> {
        for (const vm of this.entryVms.values()) {
            for (const process of [vm.entry, vm.scheduler, vm.admin]) {
                process.sendSignal("SIGKILL");
            }
        }
        await Promise.all(
            [...this.entryVms.values()].flatMap(vm =>
                [vm.entry, vm.scheduler, vm.admin].map(process => process.waitForExit())
            ),
        );
        this.network.close();
        this.fleet.close();
        this.platformServer?.close();
        this.platformServer?.closeAllConnections();
        this.portAllocator.close();
        if (process.env.SARDINESTAGE_KEEP_LOGS === undefined) {
            rmSync(this.directory, { recursive: true, force: true });
        }
        else {
            process.stderr.write(`Logs are kept in ${this.directory}.\n`);
        }
    }

    private answerList(readerVm: string) {
        return this.list.isUnavailable
            ? { status: 503, body: {} }
            : { status: 200, body: { vms: this.list.readView(readerVm) } };
    }

    private async addEntryVm(domain: DomainPlan, name: string): Promise<EntryVm> {
        const [caller, entryPeer, schedulerPeer, entryMetrics, schedulerMetrics, adminMetrics, admin] = await Promise
            .all(
                Array.from({ length: 7 }, () => this.portAllocator.acquirePort()),
            );
        const record: VmRecord = {
            vm: name,
            role: VmRole.Entry,
            domain: domain.domain,
            region: domain.region,
            rack: `${domain.domain}-e`,
            state: VmState.Live,
            address: "127.0.0.1",
            servePort: caller,
            entryPeerPort: entryPeer,
            schedulerPeerPort: schedulerPeer,
        };
        const ports = { caller, entryMetrics, schedulerMetrics, adminMetrics, admin };
        const delayMs = domain.region === this.plan.platformRegion ? this.plan.domainDelayMs : this.plan.regionDelayMs;
        const platformPort = await this.network.openLink(name, PLATFORM, this.platformPort, delayMs);
        const settings = buildSettings(this.plan, record, ports, platformPort);
        const vm: EntryVm = {
            record,
            ports,
            entry: new ManagedProcess("entry", `${name}-entry`, settings.entry, this.directory),
            scheduler: new ManagedProcess("scheduler", `${name}-scheduler`, settings.scheduler, this.directory),
            admin: new ManagedProcess("admin", `${name}-admin`, settings.admin, this.directory),
        };
        this.entryVms.set(name, vm);
        this.list.setVm(record);
        return vm;
    }

    /** Opens links from an entry VM to all other entry VMs and to the workers of its own failure domain. */
    private async openLinks({ record: from }: EntryVm): Promise<void> {
        for (const to of this.list.getCurrentVms()) {
            const isSameDomain = to.domain === from.domain;
            const delayMs = isSameDomain
                ? 0
                : to.region === from.region
                ? this.plan.domainDelayMs
                : this.plan.regionDelayMs;
            const ports = to.vm === from.vm || to.role === VmRole.Worker && !isSameDomain
                ? []
                : [to.servePort, to.controlPort, to.entryPeerPort, to.schedulerPeerPort];
            for (const port of ports) {
                if (port !== undefined) {
                    await this.network.openLink(from.vm, to.vm, port, delayMs);
                }
            }
        }
    }

    /** Replaces a record's ports by those of the links from the VM that reads the list. */
    private resolveProxyPorts(readerVm: string, record: VmRecord): VmRecord {
        const resolve = (port: number | undefined) =>
            port === undefined ? undefined : this.network.resolvePort(readerVm, record.vm, port);
        return {
            ...record,
            servePort: resolve(record.servePort),
            controlPort: resolve(record.controlPort),
            entryPeerPort: resolve(record.entryPeerPort),
            schedulerPeerPort: resolve(record.schedulerPeerPort),
        };
    }

    private startProcesses(vm: EntryVm): void {
        vm.entry.start();
        vm.scheduler.start();
        vm.admin.start();
    }

    private async waitUntilStarted(vm: EntryVm): Promise<void> {
        const answers = async (port: number) => {
            const reply = await got(`http://127.0.0.1:${port}/metrics`, {
                retry: { limit: 0 },
                throwHttpErrors: false,
            });
            return reply.statusCode === 200;
        };
        const { entryMetrics, schedulerMetrics, adminMetrics } = vm.ports;
        for (const port of [entryMetrics, schedulerMetrics, adminMetrics]) {
            await waitUntil(
                `the processes of ${vm.record.vm} answer`,
                () => answers(port).catch(() => false),
                START_TIMEOUT_MS,
            );
        }
    }
}
