import type { Clock, WorkerPort } from "@sardinestage/describe-ports";
import { OrderOutcome, waitFor } from "@sardinestage/describe-ports";
import type { EmulatedFleet } from "@sardinestage/emulate-platform";
import { CutDirection } from "./cutDirection.js";

/** The zone of the store, and of all VMs and workers that have no other. */
const HOME = "home";
/** Time after which a refused connection is known to be refused, in milliseconds. */
const REFUSAL_MS = 2;

/** Network between zones of VMs and workers. A test cuts a zone off from all others. */
export class ZonedNetwork {
    /** Time after which a call over a link that is cut is given up, in milliseconds. */
    readonly timeoutMs = 1000;
    /** The zone of each VM and worker that isn't in the store's zone, by name. */
    readonly zones = new Map<string, string>();
    /** Whether a cut between two zones also cuts the links between their VMs. */
    areVmLinksCut = true;
    /** The VMs whose connections over a cut link are refused; calls of the others over it get no answer. */
    readonly refusedVms = new Set<string>();
    /** The VMs that a zone's cut leaves connected with the store. */
    readonly vmsWithStore = new Set<string>();
    /** The zones that are cut off, and which connections that prevents. */
    private readonly cutZones = new Map<string, CutDirection>();

    constructor(private readonly clock: Clock) {}

    /** Cuts a zone off from all others, or ends that. */
    setZoneCut(zone: string, isCut: boolean, direction = CutDirection.Both): void {
        if (isCut) {
            this.cutZones.set(zone, direction);
        }
        else {
            this.cutZones.delete(zone);
        }
    }

    /** Whether a VM is cut off from the store. */
    isStoreCut(vm: string): boolean {
        return !this.vmsWithStore.has(vm) && this.isLinkCut(this.findZone(vm), HOME);
    }

    /** Whether a VM can't open connections to another one. */
    isVmLinkCut(from: string, to: string): boolean {
        return this.areVmLinksCut && this.isLinkCut(this.findZone(from), this.findZone(to));
    }

    /** Waits until a VM knows that a call over a cut link has failed. Returns whether its connection was refused. */
    async waitForFailure(from: string, timeoutMs = this.timeoutMs): Promise<boolean> {
        const isRefused = this.refusedVms.has(from);
        await waitFor(this.clock, isRefused ? REFUSAL_MS : timeoutMs);
        return isRefused;
    }

    /** Creates a port through which a VM calls workers over the links that aren't cut. */
    createWorkerPort(vm: string, fleet: EmulatedFleet): WorkerPort {
        const isCut = (worker: { readonly id: string }) => this.isLinkCut(this.findZone(vm), this.findZone(worker.id));
        const waitForOutcome = async () =>
            await this.waitForFailure(vm) ? OrderOutcome.Unhealthy : OrderOutcome.Unknown;
        const callOrder = async (worker: { readonly id: string }, call: () => Promise<OrderOutcome>) => {
            if (isCut(worker)) {
                return waitForOutcome();
            }
            const outcome = await call();
            if (isCut(worker)) {
                await waitFor(this.clock, this.timeoutMs);
                return OrderOutcome.Unknown;
            }
            return outcome;
        };
        return {
            start: (worker, order) => callOrder(worker, () => fleet.start(worker, order)),
            stop: (worker, task, run, fence) => callOrder(worker, () => fleet.stop(worker, task, run, fence)),
            pace: worker => callOrder(worker, () => fleet.pace()),
            renewLease: async (worker, order) => {
                const report = isCut(worker) ? undefined : await fleet.renewLease(worker, order);
                if (report === undefined || isCut(worker)) {
                    const outcome = report === undefined ? await waitForOutcome() : OrderOutcome.Unknown;
                    if (report !== undefined) {
                        await waitFor(this.clock, this.timeoutMs);
                    }
                    return { outcome, clockMs: 0, bornMs: 0, running: [], ended: [] };
                }
                return report;
            },
        };
    }

    private isLinkCut(from: string, to: string): boolean {
        return from !== to
            && (this.hasCut(from, CutDirection.Outbound) || this.hasCut(to, CutDirection.Inbound));
    }

    /** Whether a zone's cut prevents connections in a direction. */
    private hasCut(zone: string, direction: CutDirection): boolean {
        const cut = this.cutZones.get(zone);
        return cut === CutDirection.Both || cut === direction;
    }

    private findZone(name: string): string {
        return this.zones.get(name) ?? HOME;
    }
}
