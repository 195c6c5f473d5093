import type { Resources } from "./resources.js";
import type { VmRole } from "./vmRole.js";
import type { VmState } from "./vmState.js";

/** One VM in the platform's list. The list lags, so a record is a hint. */
export interface VmRecord {
    readonly vm: string;
    readonly role: VmRole;
    readonly domain: string;
    readonly region: string;
    readonly rack: string;
    readonly state: VmState;
    /** IP number. */
    readonly address: string;
    /** Worker: its control port. Entry VM: unused. */
    readonly controlPort?: number;
    /** Worker: where its replicas serve. Entry VM: where callers connect. */
    readonly servePort?: number;
    /** Entry VM: the peer port of its entry process. */
    readonly entryPeerPort?: number;
    /** Entry VM: the peer port of its scheduler process. */
    readonly schedulerPeerPort?: number;
    /** Worker: what it has. */
    readonly capacity?: Resources;
    /** Worker: open requests that it takes at once. */
    readonly connections?: number;
}
