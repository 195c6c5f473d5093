import type { VmRecord } from "@sardinestage/types";

/** How a reader in one failure domain sees a record, such as with the ports of a proxy. */
type ViewRecord = (viewDomain: string, record: VmRecord) => VmRecord;

/** The platform's list of VMs; what it answers lags behind what is so. */
export class StandInVmList {
    /** Whether calls fail. */
    isOut = false;
    private readonly snapshots: { atMs: number; vms: VmRecord[] }[] = [{ atMs: 0, vms: [] }];

    /**
     * @param lagMs How far the list lags.
     * @param viewRecord How a reader sees a record.
     */
    constructor(private readonly lagMs: number, private readonly viewRecord: ViewRecord) {}

    /** Adds a VM or replaces its record. */
    setVm(record: VmRecord): void {
        this.addSnapshot([...this.getNewest().filter(vm => vm.vm !== record.vm), record]);
    }

    /** Removes a VM. */
    removeVm(vm: string): void {
        this.addSnapshot(this.getNewest().filter(each => each.vm !== vm));
    }

    /** The list as it really is. */
    getNewest(): readonly VmRecord[] {
        return this.snapshots[this.snapshots.length - 1].vms;
    }

    /** The list as a reader sees it now. */
    readView(viewDomain: string): VmRecord[] {
        const limit = performance.now() - this.lagMs;
        const visible = this.snapshots.findLast(snapshot => snapshot.atMs <= limit) ?? this.snapshots[0];
        return visible.vms.map(record => this.viewRecord(viewDomain, record));
    }

    private addSnapshot(vms: VmRecord[]): void {
        this.snapshots.push({ atMs: performance.now(), vms });
    }
}
