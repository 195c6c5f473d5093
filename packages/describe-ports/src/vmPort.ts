import type { VmEntry } from "./vmEntry.js";
import type { VmOrderOutcome } from "./vmOrderOutcome.js";

/** The platform's interface to the VMs under the workers. */
export interface VmPort {
    /** Lists all VMs; undefined when the platform refused or didn't answer. */
    list(): Promise<readonly VmEntry[] | undefined>;
    /** Takes a VM down for its upkeep. */
    startUpkeep(vm: string, wave: number, fence: number): Promise<VmOrderOutcome>;
}
