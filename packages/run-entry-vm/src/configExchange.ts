import type { Clock } from "@sardinestage/describe-ports";
import type { OperatorConfig } from "@sardinestage/describe-work";
import type { ConfigKeeper } from "./configKeeper.js";
import { ConfigLag } from "./configLag.js";
import type { FollowReply } from "./followReply.js";
import type { FollowRequest } from "./followRequest.js";

/**
 * Exchanges the configuration and the evacuations with the coordinator. The one that has had an older configuration for a
 * while gets the newer one. Evacuations are short, and go with each request and reply.
 */
export class ConfigExchange {
    /** Whether this process lags behind the coordinator's configuration. */
    private readonly ownLag = new ConfigLag();
    /** Whether the coordinator lags behind this process's configuration. */
    private readonly coordinatorLag = new ConfigLag();

    constructor(private readonly config: ConfigKeeper, private readonly clock: Clock) {}

    /** Builds the part of a request to the coordinator. The configuration is included if the coordinator lacks it. */
    buildRequest(): Pick<FollowRequest, "needsConfig" | "config" | "evacuations"> {
        const { config, clock } = this;
        const nowMs = clock.getNow();
        return {
            needsConfig: config.version < 0 || this.ownLag.isStale(nowMs),
            config: this.coordinatorLag.isStale(nowMs) ? config.config : undefined,
            evacuations: config.evacuations.state,
        };
    }

    /** Applies what a follower's request tells. */
    applyRequest(request: FollowRequest): void {
        this.config.evacuations.applyState(request.evacuations, "follower");
        if (request.config !== undefined) {
            this.config.applyConfig(request.config as OperatorConfig, "follower");
        }
    }

    /** Builds the part of a reply to a follower. */
    buildReply(request: FollowRequest): Pick<FollowReply, "configVersion" | "config" | "evacuations"> {
        const { config } = this;
        return {
            configVersion: config.version,
            config: request.needsConfig ? config.config : undefined,
            evacuations: config.evacuations.state,
        };
    }

    /** Applies what a coordinator's reply tells, and compares the versions. */
    applyReply(reply: FollowReply): void {
        const { config, clock } = this;
        config.evacuations.applyState(reply.evacuations, "coordinator");
        if (reply.config !== undefined) {
            config.applyConfig(reply.config as OperatorConfig, "coordinator");
        }
        this.ownLag.noteVersions(config.version, reply.configVersion, clock.getNow());
        this.coordinatorLag.noteVersions(reply.configVersion, config.version, clock.getNow());
    }
}
