import type { StorePort } from "@sardinestage/describe-ports";
import type { Clock, OperatorRecord, RecordCodec } from "@sardinestage/describe-ports";
import { Topic } from "@sardinestage/describe-ports";
import type { UpkeepWave, WorkConfig } from "@sardinestage/describe-work";
import { TopicFollower } from "@sardinestage/follow-topic";
import type { EventLogger } from "@sardinestage/log-events";

/** How long a read waits for the next record, in milliseconds: a connection that went silent shows only after that. */
const READ_WAIT_MS = 2000;

/** What a configuration keeper works with. */
interface ConfigKeeperParts {
    readonly store: StorePort;
    readonly codec: RecordCodec;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Called with each newer configuration. */
    readonly onConfig: (config: WorkConfig) => void;
}

/** Keeps the newest configuration, from the store or from a peer that knows a newer one. */
export class ConfigKeeper {
    private readonly follower: TopicFollower;
    readonly waves = new Map<number, UpkeepWave>();
    config: WorkConfig | undefined;

    constructor(private readonly parts: ConfigKeeperParts) {
        this.follower = new TopicFollower({
            ...parts,
            topic: Topic.Operator,
            name: "operator",
            waitMs: READ_WAIT_MS,
            pauseMs: 0,
            takeRecord: record => this.takeRecord(parts.codec.decodeOperator(record)),
        });
    }

    /** The version in force here; -1 before the first. */
    get version(): number {
        return this.config?.version ?? -1;
    }

    /** Follows the operator's records until closed. */
    run(): Promise<void> {
        return this.follower.run();
    }

    /** Stops following. */
    close(): void {
        this.follower.close();
    }

    /** Puts a configuration into force if it is newer than the one that is. */
    applyConfig(config: WorkConfig, source: string): void {
        if (config.version <= this.version) {
            return;
        }
        const { version, queues } = config;
        this.parts.logger.info("config-applied", { version, from: this.version, queues: queues.length, source });
        this.config = config;
        this.parts.onConfig(config);
    }

    private takeRecord(record: OperatorRecord | undefined): void {
        if (record?.config !== undefined) {
            this.applyConfig(record.config, "store");
        }
        else if (record?.wave !== undefined) {
            this.waves.set(record.wave.number, record.wave);
        }
    }
}
