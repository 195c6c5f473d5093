import type { VmState } from "./vmState.js";

/** A VM in the platform's list. A VM runs one worker instance at a time. */
export interface VmEntry {
    readonly vm: string;
    readonly service: string;
    readonly state: VmState;
    /** Id of the worker that runs on the VM; empty for none. */
    readonly workerId: string;
}
