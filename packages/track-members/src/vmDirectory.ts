import type { VmListPort } from "@sardinestage/call-platform";
import type { StageError } from "@sardinestage/errors";
import type { VmRecord } from "@sardinestage/types";
import { VmRole, VmState } from "@sardinestage/types";
import type { PeerAddress } from "./peerAddress.js";

/** The newest list of VMs that the platform gave; kept while the platform doesn't answer. */
export class VmDirectory {
    private vms: readonly VmRecord[] = [];
    private loaded = false;

    constructor(private readonly list: VmListPort, private readonly handleFailure: (failure: StageError) => void) {}

    /** Reads the list once more. */
    async refresh(): Promise<void> {
        const answer = await this.list.list();
        if (answer.ok) {
            this.vms = answer.val;
            this.loaded = true;
        }
        else {
            this.handleFailure(answer.val);
        }
    }

    /** Whether the list was ever read. */
    isLoaded(): boolean {
        return this.loaded;
    }

    /** Workers of a failure domain. */
    listWorkers(domain: string): readonly VmRecord[] {
        return this.vms.filter(vm => vm.role === VmRole.Worker && vm.domain === domain);
    }

    /** Entry VMs of a failure domain. */
    listEntryVms(domain: string): readonly VmRecord[] {
        return this.vms.filter(vm => vm.role === VmRole.Entry && vm.domain === domain);
    }

    /** Entry VMs of all failure domains that are not leaving. */
    listLiveEntryVms(): readonly VmRecord[] {
        return this.vms.filter(vm => vm.role === VmRole.Entry && vm.state === VmState.Live);
    }

    /** Where the other entries of a failure domain listen for peers. */
    listEntryPeers(domain: string, ownVm: string): readonly PeerAddress[] {
        return this.listPeers(domain, ownVm, vm => vm.entryPeerPort);
    }

    /** Where the other schedulers of a failure domain listen for peers. */
    listSchedulerPeers(domain: string, ownVm: string): readonly PeerAddress[] {
        return this.listPeers(domain, ownVm, vm => vm.schedulerPeerPort);
    }

    private listPeers(domain: string, ownVm: string, readPort: (vm: VmRecord) => number | undefined): PeerAddress[] {
        return this.listEntryVms(domain).flatMap(vm => {
            const port = readPort(vm);
            return vm.vm === ownVm || port === undefined ? [] : [{ vm: vm.vm, address: vm.address, port }];
        });
    }
}
