import type { Candidate, TermHolder } from "@sardinestage/keep-term";

/** The coordinator's answer to a VM that follows it. */
export interface FollowReply {
    /** Whom the asked process takes for the coordinator. */
    readonly holder: TermHolder | undefined;
    /** Of the process that answers. */
    readonly incarnation: string;
    /** Whether it is the coordinator itself. */
    readonly isCoordinator: boolean;
    readonly isLeaving: boolean;
    /** How long it has gone without an answer of the store, in milliseconds. */
    readonly storeSilentMs: number;
    /** How long its calls to the store have failed, in milliseconds. */
    readonly storeLostMs: number;
    /** Changes whenever the VMs that follow it do. */
    readonly membersVersion: string;
    /** The VMs that follow it, when the request showed another version. */
    readonly members?: readonly Candidate[];
    readonly configVersion: number;
    /** The configuration, when the request asked for it. */
    readonly config?: unknown;
}
