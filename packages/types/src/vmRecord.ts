import type { Resources } from "./resources.js";
import type { VmRole } from "./vmRole.js";
import type { VmState } from "./vmState.js";

/** One VM in the platform's list. The list lags behind the actual state, so a record may be outdated. */
export interface VmRecord {
    readonly vm: string;
    readonly role: VmRole;
    readonly domain: string;
    readonly region: string;
    readonly rack: string;
    readonly state: VmState;
    /** IP address. */
    readonly address: string;
    /** Worker: port of its control interface. Entry VM: unused. */
    readonly controlPort?: number;
    /** Worker: port on which its replicas serve requests. Entry VM: port on which callers connect. */
    readonly servePort?: number;
    /** Entry VM: the peer port of its entry process. */
    readonly entryPeerPort?: number;
    /** Entry VM: the peer port of its scheduler process. */
    readonly schedulerPeerPort?: number;
    /** Worker: its total resources. */
    readonly capacity?: Resources;
    /** Worker: largest number of requests that can be open at once. */
    readonly connections?: number;
}
