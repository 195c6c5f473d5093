import type { Candidate, TermHolder } from "@sardinestage/keep-term";

/** Answer to a follow request. */
export interface FollowReply {
    /** The holder of the newest term that the answering process knows. */
    readonly holder: TermHolder | undefined;
    /** Incarnation of the answering process. */
    readonly incarnation: string;
    /** Whether the answering process is the coordinator. */
    readonly isCoordinator: boolean;
    /** Whether the answering process has asked the others to take over. */
    readonly isLeaving: boolean;
    /** How overdue the store's next answer to the answering process is, in milliseconds. */
    readonly storeSilentMs: number;
    /** How long the answering process's calls to the store have failed, in milliseconds. */
    readonly storeLostMs: number;
    /** Version of the answering process's list of followers; changes whenever the list does. */
    readonly membersVersion: string;
    /** The answering process and its followers, if the request names another version of the list. */
    readonly members?: readonly Candidate[];
    readonly configVersion: number;
    /** The configuration, if the request asked for it. */
    readonly config?: unknown;
}
