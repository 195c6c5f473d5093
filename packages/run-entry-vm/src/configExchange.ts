import type { Clock } from "@sardinestage/describe-ports";
import type { OperatorConfig } from "@sardinestage/describe-work";
import type { ConfigKeeper } from "./configKeeper.js";
import { ConfigLag } from "./configLag.js";
import type { FollowReply } from "./followReply.js";

/** Exchanges the configuration with the coordinator: the one that has had an older version for a while gets it. */
export class ConfigExchange {
    /** Whether this process lags behind the coordinator's configuration. */
    private readonly ownLag = new ConfigLag();
    /** Whether the coordinator lags behind this process's configuration. */
    private readonly coordinatorLag = new ConfigLag();

    constructor(private readonly config: ConfigKeeper, private readonly clock: Clock) {}

    /** Whether the coordinator's next reply should contain its configuration. */
    get needsConfig(): boolean {
        return this.config.version < 0 || this.ownLag.isStale(this.clock.getNow());
    }

    /** The configuration that the coordinator lacks; undefined if it lacks none. */
    get missingConfig(): OperatorConfig | undefined {
        return this.coordinatorLag.isStale(this.clock.getNow()) ? this.config.config : undefined;
    }

    /** Applies the configuration in a coordinator's reply and compares the versions. */
    applyReply(reply: FollowReply): void {
        const { config, clock } = this;
        if (reply.config !== undefined) {
            config.applyConfig(reply.config as OperatorConfig, "coordinator");
        }
        this.ownLag.noteVersions(config.version, reply.configVersion, clock.getNow());
        this.coordinatorLag.noteVersions(reply.configVersion, config.version, clock.getNow());
    }
}
