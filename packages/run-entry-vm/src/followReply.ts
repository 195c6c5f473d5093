import type { Candidate, TermHolder } from "@sardinestage/keep-term";
import type { EvacuationState } from "@sardinestage/track-evacuations";
import type { CoordinatorReport } from "./coordinatorReport.js";

/** Answer to a follow request. */
export interface FollowReply extends CoordinatorReport {
    /** The holder of the newest term that the answering process knows. */
    readonly holder: TermHolder | undefined;
    /** Incarnation of the answering process. */
    readonly incarnation: string;
    /** Version of the answering process's list of followers; changes whenever the list does. */
    readonly membersVersion: string;
    /** The answering process and its followers, if the request names another version of the list. */
    readonly members?: readonly Candidate[];
    readonly configVersion: number;
    /** The configuration, if the request asked for it. */
    readonly config?: unknown;
    /** What the answering process knows of evacuations; undefined if it doesn't, or is of an earlier version. */
    readonly evacuations?: EvacuationState;
}
