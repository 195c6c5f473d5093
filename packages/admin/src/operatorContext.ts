import type { ConfigFollower } from "@sardinestage/follow-config";
import type { PeerPool, VmDirectory } from "@sardinestage/track-members";
import type { AdminSettings } from "./adminSettings.js";
import type { ConfigPublisher } from "./configPublisher.js";
import type { DomainView } from "./domainView.js";

/** What the operators' calls work with. */
export interface OperatorContext {
    readonly settings: AdminSettings;
    readonly config: ConfigFollower;
    readonly publisher: ConfigPublisher;
    readonly directory: VmDirectory;
    readonly peers: PeerPool;
    readonly domains: ReadonlyMap<string, DomainView>;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
}
