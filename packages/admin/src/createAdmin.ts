import "reflect-metadata";
import { HttpLog, HttpVmList } from "@sardinestage/call-platform";
import { Metrics } from "@sardinestage/count-metrics";
import { ConfigFollower } from "@sardinestage/follow-config";
import type { EventLogger } from "@sardinestage/log-events";
import { createLogger } from "@sardinestage/log-events";
import { PeerPool, VmDirectory } from "@sardinestage/track-members";
import { Container } from "inversify";
import { Admin } from "./admin.js";
import type { AdminSettings } from "./adminSettings.js";
import { ConfigPublisher } from "./configPublisher.js";
import { DomainView } from "./domainView.js";

const now = () => performance.now();
const loggerId = Symbol.for("logger");

/**
 * Wires the parts of an administration process.
 *
 * @param settings The checked settings.
 * @returns The process, not started.
 */
export function createAdmin(settings: AdminSettings): Admin {
    const container = new Container({ defaultScope: "Singleton" });
    const { process, platform, peers } = settings;
    const metrics = new Metrics();
    const log = new HttpLog(platform.logUrl, platform.callTimeoutMs);
    container.bind(Metrics).toConstantValue(metrics);
    container.bind<EventLogger>(loggerId).toConstantValue(
        createLogger({ process: process.name, domain: process.domain }, process.logLevel),
    );
    container.bind(VmDirectory).toDynamicValue(() =>
        new VmDirectory(
            new HttpVmList(platform.listUrl, platform.callTimeoutMs),
            failure => metrics.count("list_failures_total", failure.kind),
        )
    );
    container.bind(PeerPool).toDynamicValue(() =>
        new PeerPool({ peerKey: peers.key, timeoutMs: peers.timeoutMs, maxFrameBytes: peers.maxFrameBytes })
    );
    container.bind(ConfigFollower).toDynamicValue(({ get }) =>
        new ConfigFollower({
            log,
            waitMs: platform.readWaitMs,
            retryMs: platform.appendFlushMs,
            now,
            metrics,
            logger: get<EventLogger>(loggerId),
            applyVersion: () => {},
        })
    );
    container.bind(ConfigPublisher).toDynamicValue(({ get }) =>
        new ConfigPublisher({
            log,
            config: get(ConfigFollower),
            confirmMs: settings.admin.confirmMs,
            resendMs: platform.resendMs,
            now,
        })
    );
    const domains = new Map(
        settings.admin.domains.map(domain =>
            [domain, new DomainView({ settings, domain, log, metrics, now })] as const
        ),
    );
    return new Admin({
        metrics,
        logger: container.get<EventLogger>(loggerId),
        context: {
            settings,
            domains,
            now,
            config: container.get(ConfigFollower),
            publisher: container.get(ConfigPublisher),
            directory: container.get(VmDirectory),
            peers: container.get(PeerPool),
        },
    });
}
