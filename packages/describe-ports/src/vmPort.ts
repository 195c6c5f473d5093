import type { VmEntry } from "./vmEntry.js";
import type { VmOrderOutcome } from "./vmOrderOutcome.js";

/** The platform's interface to the VMs that run the workers. */
export interface VmPort {
    /** Lists all VMs; undefined if the platform refused the call or didn't answer. */
    list(): Promise<readonly VmEntry[] | undefined>;
    /** Takes a VM down for the upkeep that an operator's wave asks for. */
    startUpkeep(vm: string, wave: number, fence: number): Promise<VmOrderOutcome>;
}
