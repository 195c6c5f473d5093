import type { StorePort } from "@sardinestage/describe-ports";
import type { Clock, OperatorRecord, RecordCodec } from "@sardinestage/describe-ports";
import { Topic } from "@sardinestage/describe-ports";
import type { OperatorConfig, UpkeepWave } from "@sardinestage/describe-work";
import { TopicFollower } from "@sardinestage/follow-topic";
import type { EventLogger } from "@sardinestage/log-events";
import { EvacuationKeeper } from "./evacuationKeeper.js";

/**
 * How long a read waits at the store for the next record, in milliseconds. A dead connection is noticed only after this
 * wait, so a long one would delay new configurations.
 */
const READ_WAIT_MS = 2000;

/** Dependencies of a configuration keeper. */
interface ConfigKeeperParts {
    readonly store: StorePort;
    readonly codec: RecordCodec;
    readonly clock: Clock;
    readonly logger: EventLogger;
    /** Called with each configuration that is applied. */
    readonly onConfig: (config: OperatorConfig) => void;
}

/**
 * Keeps the newest configuration and the evacuations, which come from the store or from another VM, and the operator's
 * upkeep waves.
 */
export class ConfigKeeper {
    private readonly follower: TopicFollower;
    /** Upkeep waves by number. */
    readonly waves = new Map<number, UpkeepWave>();
    readonly evacuations: EvacuationKeeper;
    /** The configuration in force; undefined before the first. */
    config: OperatorConfig | undefined;

    constructor(private readonly parts: ConfigKeeperParts) {
        this.evacuations = new EvacuationKeeper(parts.logger);
        this.follower = new TopicFollower({
            ...parts,
            topic: Topic.Operator,
            name: "operator",
            waitMs: READ_WAIT_MS,
            pauseMs: 0,
            takeRecord: (record, offset) => this.takeRecord(parts.codec.decodeOperator(record), offset),
            noteRead: (readUpTo, isLoad) => this.evacuations.noteRead(readUpTo, isLoad),
        });
    }

    /** The version of the configuration in force; -1 before the first. */
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

    /**
     * Puts a configuration into force if it is newer than the current one.
     *
     * @param source Where the configuration comes from, for the log.
     */
    applyConfig(config: OperatorConfig, source: string): void {
        if (config.version <= this.version) {
            return;
        }
        const { version, queues } = config;
        this.parts.logger.info("config-applied", { version, from: this.version, queues: queues.length, source });
        this.config = config;
        this.parts.onConfig(config);
    }

    private takeRecord(record: OperatorRecord | undefined, offset: number): void {
        if (record?.config !== undefined) {
            this.applyConfig(record.config, "store");
        }
        else if (record?.wave !== undefined) {
            this.waves.set(record.wave.number, record.wave);
        }
        else if (record?.evacuation !== undefined) {
            this.evacuations.takeRecord(record, offset);
        }
    }
}
