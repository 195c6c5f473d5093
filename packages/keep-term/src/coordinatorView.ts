/** What a process knows of the coordinator. */
export interface CoordinatorView {
    /** Whether any coordinator is known. */
    readonly isKnown: boolean;
    /** Time since it last answered, in milliseconds. */
    readonly silentMs: number;
    /** Nothing listens at its address: its process has ended. */
    readonly isRefused: boolean;
    /** It said that it is about to stop. */
    readonly isLeaving: boolean;
    /** How long its calls to the store have failed, in milliseconds; not how late it reads the answers. */
    readonly storeSilentMs: number;
    /** Whether the store answers this process. */
    readonly hasStore: boolean;
    /** How many peers are known besides the coordinator, and how many of them answered just now. */
    readonly peers: number;
    readonly peersAnswered: number;
    /** Whether a peer has heard the coordinator lately. */
    readonly isHeardByPeer: boolean;
    /** Time since the store last showed a renewal of its, in milliseconds. */
    readonly renewalAgeMs: number;
    /** How many VMs followed it then, and how many members this process knows of. */
    readonly followers: number;
    readonly members: number;
    /** Time since another process lost the term to it, in milliseconds; infinite where no change was seen. */
    readonly termAgeMs: number;
}
