import type { LogPort } from "@sardinestage/call-platform";
import type { Metrics } from "@sardinestage/count-metrics";
import { FrameKind } from "@sardinestage/exchange-frames";
import { ConfigHistory } from "@sardinestage/fold-config";
import { LogFollower } from "@sardinestage/follow-log";
import type { EventLogger } from "@sardinestage/log-events";
import type { PeerAddress, PeerPool } from "@sardinestage/track-members";
import { z } from "zod";

/** The stream in which operators' configuration stands. */
const CONFIG_STREAM = "config";

const configReply = z.object({ version: z.number().int(), document: z.unknown(), acceptedAtMs: z.number() });

interface ConfigFollowerOptions {
    readonly log: LogPort;
    readonly waitMs: number;
    readonly retryMs: number;
    readonly now: () => number;
    readonly metrics: Metrics;
    readonly logger: EventLogger;
}

/**
 * Keeps a process's configuration at the newest accepted version: from the log, and from peers while the log is out.
 * A version is put into force once and never falls.
 */
export class ConfigFollower {
    /** What the log's order made of the changes. */
    readonly history = new ConfigHistory();
    private readonly follower: LogFollower;
    private inForce = 0;

    constructor(private readonly options: ConfigFollowerOptions) {
        this.follower = new LogFollower({
            log: options.log,
            stream: CONFIG_STREAM,
            waitMs: options.waitMs,
            retryMs: options.retryMs,
            now: options.now,
            applyRecord: record => {
                this.history.applyRecord(record);
                this.noteNewest();
            },
            handleGap: () => {},
            handleFailure: failure => options.metrics.count("log_failures_total", failure.kind),
        });
    }

    /** Reads until stopped. */
    follow(): Promise<void> {
        return this.follower.follow();
    }

    /** Ends reading. */
    stop(): void {
        this.follower.stop();
    }

    /** Waits until a published change was read back. */
    waitForRecord(id: string): Promise<number> {
        return this.follower.waitForRecord(id);
    }

    /** When the newest read that reached the log's end was sent, in monotonic milliseconds. */
    getFreshAtMs(): number {
        return this.follower.getFreshAtMs();
    }

    /** Answers a peer that asks for the configuration. */
    answerPeer(body: unknown): object {
        const known = z.object({ known: z.number() }).safeParse(body);
        const { version, document, acceptedAtMs } = this.history.getCurrent();
        // A peer that is up to date is spared the document.
        return known.success && known.data.known >= version
            ? { version: 0, document: undefined, acceptedAtMs: 0 }
            : { version, document, acceptedAtMs };
    }

    /** Asks peers for a newer version. */
    async pullFromPeers(pool: PeerPool, peers: readonly PeerAddress[]): Promise<void> {
        const known = this.history.getCurrent().version;
        const replies = await Promise.all(peers.map(peer => pool.request(peer, FrameKind.ReadConfig, { known })));
        for (const reply of replies) {
            const parsed = configReply.safeParse(reply.ok ? reply.val : undefined);
            if (parsed.success) {
                this.history.acceptFromElsewhere(parsed.data.version, parsed.data.document, parsed.data.acceptedAtMs);
            }
        }
        this.noteNewest();
    }

    private noteNewest(): void {
        const current = this.history.getCurrent();
        if (current.version <= this.inForce) {
            return;
        }
        this.inForce = current.version;
        this.options.metrics.setGauge("config_version", current.version);
        this.options.logger.info("config-in-force", { version: current.version });
    }
}
