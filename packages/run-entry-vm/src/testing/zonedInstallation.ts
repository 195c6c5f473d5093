import type { QueueConfig, TaskRef } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import { TakeoverHarness } from "./takeoverHarness.js";

const queue: QueueConfig = {
    name: "queue",
    host: "host",
    pathPrefix: "/queue/",
    service: "service",
    priority: 0,
    maxAttempts: 50,
    stretch: 2,
    targetLatencyMs: 1000,
};

/** VMs and workers in several zones, of which one VM coordinates. */
export class ZonedInstallation {
    /** Zones that can be cut off, each with a VM and workers; the store, two VMs and workers are in none of them. */
    static readonly zones = ["east", "west"];
    static readonly workersPerZone = 2;
    readonly harness: TakeoverHarness;
    private jobs = 0;

    constructor(random: () => number, getDuration: (task: TaskRef) => number, usesRelays = false) {
        this.harness = new TakeoverHarness(random, getDuration, usesRelays);
        ZonedInstallation.zones.forEach(zone => this.harness.network.zones.set(`vm-${zone}`, zone));
    }

    /** Starts all VMs and workers, the VM of a zone first, so that it coordinates. */
    async start(firstZone: string): Promise<void> {
        const { harness } = this;
        harness.startVm(`vm-${firstZone}`);
        await harness.clock.runFor(1000);
        ["vm-home", "vm-home2", ...ZonedInstallation.zones.filter(zone => zone !== firstZone).map(zone => `vm-${zone}`)]
            .forEach(vm => harness.startVm(vm));
        for (const zone of [...ZonedInstallation.zones, "home"]) {
            for (let index = 0; index < ZonedInstallation.workersPerZone; index++) {
                const worker = `worker-${zone}${index}`;
                if (zone !== "home") {
                    harness.network.zones.set(worker, zone);
                }
                harness.addWorker(worker);
            }
        }
        await harness.clock.runFor(4000);
    }

    /** Submits a job of one step; a worker runs at most one of the tasks of a long-running one. */
    submit(taskCount: number, longRunning = false): void {
        const steps = [createStep({ taskCount, longRunning, maxTasksPerWorker: longRunning ? 1 : 0 })];
        const spec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        this.harness.submit(`job${this.jobs++}`, spec, queue);
    }
}
