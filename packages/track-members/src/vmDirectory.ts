import type { VmListPort } from "@sardinestage/call-platform";
import type { StageError } from "@sardinestage/errors";
import type { VmRecord } from "@sardinestage/types";
import { VmRole, VmState } from "@sardinestage/types";
import type { PeerAddress } from "./peerAddress.js";

/** Holds the latest VM list of the platform, and keeps it while the platform is unavailable. */
export class VmDirectory {
    private vms: readonly VmRecord[] = [];
    private loaded = false;

    constructor(private readonly list: VmListPort, private readonly handleFailure: (failure: StageError) => void) {}

    /** Reads the list from the platform. On failure the previous list stays, and the failure handler is called. */
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

    /** Whether the list has been read at least once. */
    isLoaded(): boolean {
        return this.loaded;
    }

    /** Lists the workers of a failure domain. */
    listWorkers(domain: string): readonly VmRecord[] {
        return this.vms.filter(vm => vm.role === VmRole.Worker && vm.domain === domain);
    }

    /** Lists the entry VMs of a failure domain. */
    listEntryVms(domain: string): readonly VmRecord[] {
        return this.vms.filter(vm => vm.role === VmRole.Entry && vm.domain === domain);
    }

    /** Lists the entry VMs of all failure domains, without the VMs that are leaving. */
    listLiveEntryVms(): readonly VmRecord[] {
        return this.vms.filter(vm => vm.role === VmRole.Entry && vm.state === VmState.Live);
    }

    /** Lists the peer addresses of a failure domain's other entry processes. */
    listEntryPeers(domain: string, ownVm: string): readonly PeerAddress[] {
        return this.listPeers(domain, ownVm, vm => vm.entryPeerPort);
    }

    /** Lists the peer addresses of a failure domain's other schedulers. */
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
