import type { VmState } from "./vmState.js";

/** A VM that carries workers, one life after another. */
export interface VmEntry {
    readonly vm: string;
    readonly service: string;
    readonly state: VmState;
    /** Id of the worker that runs on it; empty for none. */
    readonly workerId: string;
}
