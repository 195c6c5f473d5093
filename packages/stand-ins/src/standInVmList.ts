import type { VmRecord } from "@sardinestage/types";

/** Converts a record for the VM that reads the list, for example by replacing ports with those of proxies. */
type RecordResolver = (readerVm: string, record: VmRecord) => VmRecord;

/** The platform's list of VMs; readers see the list as it was some time ago. */
export class StandInVmList {
    /** Whether the list is unavailable: calls fail with status 503. */
    isUnavailable = false;
    private readonly snapshots: { atMs: number; vms: VmRecord[] }[] = [{ atMs: 0, vms: [] }];

    /**
     * @param lagMs How old the list that readers see is, in milliseconds.
     * @param resolveRecord Converts each record for the VM that reads the list.
     */
    constructor(private readonly lagMs: number, private readonly resolveRecord: RecordResolver) {}

    /** Adds a VM or replaces its record. */
    setVm(record: VmRecord): void {
        this.addSnapshot([...this.getCurrentVms().filter(vm => vm.vm !== record.vm), record]);
    }

    /** Removes a VM. */
    removeVm(vm: string): void {
        this.addSnapshot(this.getCurrentVms().filter(each => each.vm !== vm));
    }

    /** Returns the current list, without the lag. */
    getCurrentVms(): readonly VmRecord[] {
        return this.snapshots[this.snapshots.length - 1].vms;
    }

    /** Returns the list that a VM reads now: as old as the lag, with records converted for this VM. */
    readView(readerVm: string): VmRecord[] {
        const limit = performance.now() - this.lagMs;
        const visible = this.snapshots.findLast(snapshot => snapshot.atMs <= limit) ?? this.snapshots[0];
        return visible.vms.map(record => this.resolveRecord(readerVm, record));
    }

    private addSnapshot(vms: VmRecord[]): void {
        this.snapshots.push({ atMs: performance.now(), vms });
    }
}
