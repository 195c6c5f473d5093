import type { ConfigFollower } from "@sardinestage/follow-config";
import type { PeerPool, VmDirectory } from "@sardinestage/track-members";
import type { AdminSettings } from "./adminSettings.js";
import type { ConfigPublisher } from "./configPublisher.js";
import type { DomainView } from "./domainView.js";

/** Dependencies of the operators' commands and queries. */
export interface OperatorContext {
    readonly settings: AdminSettings;
    readonly config: ConfigFollower;
    readonly publisher: ConfigPublisher;
    readonly directory: VmDirectory;
    readonly peers: PeerPool;
    /** Views of the failure domains, by name. */
    readonly domains: ReadonlyMap<string, DomainView>;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
}
