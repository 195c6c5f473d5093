import "reflect-metadata";
import { bindSharedParts, sharedIds } from "@sardinestage/bind-shared-parts";
import type { LogPort } from "@sardinestage/call-platform";
import { Metrics } from "@sardinestage/count-metrics";
import { ConfigFollower } from "@sardinestage/follow-config";
import type { EventLogger } from "@sardinestage/log-events";
import { PeerPool, VmDirectory } from "@sardinestage/track-members";
import { Container } from "inversify";
import { Admin } from "./admin.js";
import type { AdminSettings } from "./adminSettings.js";
import { ConfigPublisher } from "./configPublisher.js";
import { DomainView } from "./domainView.js";

const now = () => performance.now();

/**
 * Creates an administration process and its dependencies.
 *
 * @param settings The validated settings.
 * @returns The process, not started yet.
 */
export function createAdmin(settings: AdminSettings): Admin {
    const container = new Container({ defaultScope: "Singleton" });
    bindSharedParts(container, settings, now);
    const { confirmMs, domains } = settings.admin;
    const log = container.get<LogPort>(sharedIds.log);
    const metrics = container.get(Metrics);
    container.bind(ConfigPublisher).toDynamicValue(({ get }) =>
        new ConfigPublisher({ log, config: get(ConfigFollower), confirmMs, resendMs: settings.platform.resendMs, now })
    );
    const views = domains.map(domain => [domain, new DomainView({ settings, domain, log, metrics, now })] as const);
    return new Admin({
        metrics,
        logger: container.get<EventLogger>(sharedIds.logger),
        context: {
            settings,
            now,
            domains: new Map(views),
            config: container.get(ConfigFollower),
            publisher: container.get(ConfigPublisher),
            directory: container.get(VmDirectory),
            peers: container.get(PeerPool),
        },
    });
}
