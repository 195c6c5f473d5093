import type { Clock, WorkerPort } from "@sardinestage/describe-ports";
import { OrderOutcome, waitFor } from "@sardinestage/describe-ports";
import type { EmulatedFleet } from "@sardinestage/emulate-platform";

/** The zone of the store, and of all VMs and workers that have no other. */
const HOME = "home";

/** Network between zones of VMs and workers. A test cuts a zone off from all others. */
export class ZonedNetwork {
    /** Time after which a call over a link that is cut is given up, in milliseconds. */
    readonly timeoutMs = 1000;
    /** The zone of each VM and worker that isn't in the store's zone, by name. */
    readonly zones = new Map<string, string>();
    /** Whether a cut between two zones also cuts the links between their VMs. */
    areVmLinksCut = true;
    /** The zones that are cut off. */
    private readonly cutZones = new Set<string>();

    constructor(private readonly clock: Clock) {}

    /** Cuts a zone off from all others, or ends that. */
    setZoneCut(zone: string, isCut: boolean): void {
        if (isCut) {
            this.cutZones.add(zone);
        }
        else {
            this.cutZones.delete(zone);
        }
    }

    /** Whether a VM is cut off from the store. */
    isStoreCut(vm: string): boolean {
        return this.isLinkCut(this.findZone(vm), HOME);
    }

    /** Whether two VMs are cut off from each other. */
    isVmLinkCut(left: string, right: string): boolean {
        return this.areVmLinksCut && this.isLinkCut(this.findZone(left), this.findZone(right));
    }

    /** Creates a port through which a VM calls workers over the links that aren't cut. */
    createWorkerPort(vm: string, fleet: EmulatedFleet): WorkerPort {
        const isCut = (worker: { readonly id: string }) => this.isLinkCut(this.findZone(vm), this.findZone(worker.id));
        const callOrder = async (worker: { readonly id: string }, call: () => Promise<OrderOutcome>) => {
            const outcome = isCut(worker) ? OrderOutcome.Unknown : await call();
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
                    await waitFor(this.clock, this.timeoutMs);
                    return { outcome: OrderOutcome.Unknown, clockMs: 0, bornMs: 0, running: [], ended: [] };
                }
                return report;
            },
        };
    }

    private isLinkCut(left: string, right: string): boolean {
        return left !== right && (this.cutZones.has(left) || this.cutZones.has(right));
    }

    private findZone(name: string): string {
        return this.zones.get(name) ?? HOME;
    }
}
