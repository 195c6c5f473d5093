import type { LogPort } from "@sardinestage/call-platform";
import type { Metrics } from "@sardinestage/count-metrics";
import { FrameKind } from "@sardinestage/exchange-frames";
import { ConfigHistory } from "@sardinestage/fold-config";
import { LogFollower } from "@sardinestage/follow-log";
import type { EventLogger } from "@sardinestage/log-events";
import type { PeerAddress, PeerPool } from "@sardinestage/track-members";
import { z } from "zod";

/** The log stream that contains the configuration. */
const CONFIG_STREAM = "config";

const configReply = z.object({ version: z.number().int(), document: z.unknown(), acceptedAtMs: z.number() });

interface ConfigFollowerOptions {
    readonly log: LogPort;
    /** How long a read waits at the end of the stream, in milliseconds. */
    readonly waitMs: number;
    /** Pause after a failed read, in milliseconds. */
    readonly retryMs: number;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
    readonly metrics: Metrics;
    readonly logger: EventLogger;
}

/**
 * Keeps a process's configuration at the newest accepted version. Reads the log, and asks peers so that changes arrive
 * also while the log is unavailable. The version in force never decreases; each new one is reported once.
 */
export class ConfigFollower {
    /** The versions and verdicts computed so far. */
    readonly history = new ConfigHistory();
    private readonly follower: LogFollower;
    private reportedVersion = 0;

    constructor(private readonly options: ConfigFollowerOptions) {
        this.follower = new LogFollower({
            log: options.log,
            stream: CONFIG_STREAM,
            waitMs: options.waitMs,
            retryMs: options.retryMs,
            now: options.now,
            applyRecord: record => {
                this.history.applyRecord(record);
                this.reportNewVersion();
            },
            handleGap: () => {},
            handleFailure: failure => options.metrics.count("log_failures_total", failure.kind),
        });
    }

    /** Reads the log until {@link stop} is called. */
    follow(): Promise<void> {
        return this.follower.follow();
    }

    /** Stops reading. */
    stop(): void {
        this.follower.stop();
    }

    /** Waits until the record of a published change has been read back. Resolves to the record's offset. */
    waitForRecord(id: string): Promise<number> {
        return this.follower.waitForRecord(id);
    }

    /** Returns when the newest read that reached the end of the log was sent, in monotonic milliseconds. */
    getFreshAtMs(): number {
        return this.follower.getFreshAtMs();
    }

    /** Handles a peer's request for the configuration. */
    answerPeer(body: unknown): object {
        const known = z.object({ known: z.number() }).safeParse(body);
        const { version, document, acceptedAtMs } = this.history.getCurrent();
        // A peer that is up to date gets version 0 without a document.
        return known.success && known.data.known >= version
            ? { version: 0, document: undefined, acceptedAtMs: 0 }
            : { version, document, acceptedAtMs };
    }

    /** Asks peers for a newer version and accepts it. */
    async pullFromPeers(pool: PeerPool, peers: readonly PeerAddress[]): Promise<void> {
        const known = this.history.getCurrent().version;
        const replies = await Promise.all(peers.map(peer => pool.request(peer, FrameKind.ReadConfig, { known })));
        for (const reply of replies) {
            const parsed = configReply.safeParse(reply.ok ? reply.val : undefined);
            if (parsed.success) {
                this.history.acceptCopy(parsed.data.version, parsed.data.document, parsed.data.acceptedAtMs);
            }
        }
        this.reportNewVersion();
    }

    private reportNewVersion(): void {
        const current = this.history.getCurrent();
        if (current.version <= this.reportedVersion) {
            return;
        }
        this.reportedVersion = current.version;
        this.options.metrics.setGauge("config_version", current.version);
        this.options.logger.info("config-in-force", { version: current.version });
    }
}
