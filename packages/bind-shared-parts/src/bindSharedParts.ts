import type { LogPort } from "@sardinestage/call-platform";
import { HttpLog, HttpVmList } from "@sardinestage/call-platform";
import { Metrics } from "@sardinestage/count-metrics";
import { ConfigFollower } from "@sardinestage/follow-config";
import type { EventLogger } from "@sardinestage/log-events";
import { createLogger } from "@sardinestage/log-events";
import { PeerPool, VmDirectory } from "@sardinestage/track-members";
import type { Container } from "inversify";
import { sharedIds } from "./sharedIds.js";

/** The settings that the shared components use; docs/SETTINGS.md describes them. */
interface SharedSettings {
    readonly process: {
        readonly name: string;
        readonly domain: string;
        readonly logLevel: "info" | "warn" | "error";
    };
    readonly platform: {
        readonly logUrl: string;
        readonly listUrl: string;
        readonly callTimeoutMs: number;
        readonly readWaitMs: number;
        readonly appendFlushMs: number;
    };
    readonly peers: { readonly key: string; readonly timeoutMs: number; readonly maxFrameBytes: number };
}

/** Binds the components of every process: metrics, logger, log client, VM directory, peer pool and configuration. */
export function bindSharedParts(container: Container, settings: SharedSettings, now: () => number): void {
    const { process, platform, peers } = settings;
    const metrics = new Metrics();
    const logger = createLogger({ process: process.name, domain: process.domain }, process.logLevel);
    const log = new HttpLog(platform.logUrl, platform.callTimeoutMs);
    const list = new HttpVmList(platform.listUrl, platform.callTimeoutMs);
    container.bind(Metrics).toConstantValue(metrics);
    container.bind<EventLogger>(sharedIds.logger).toConstantValue(logger);
    container.bind<LogPort>(sharedIds.log).toConstantValue(log);
    container.bind(VmDirectory).toDynamicValue(() =>
        new VmDirectory(list, failure => metrics.count("list_failures_total", failure.kind))
    );
    container.bind(PeerPool).toDynamicValue(() =>
        new PeerPool({ peerKey: peers.key, timeoutMs: peers.timeoutMs, maxFrameBytes: peers.maxFrameBytes })
    );
    container.bind(ConfigFollower).toDynamicValue(() =>
        new ConfigFollower({
            log,
            waitMs: platform.readWaitMs,
            retryMs: platform.appendFlushMs,
            now,
            metrics,
            logger,
        })
    );
}
