import type { LogPort } from "@sardinestage/call-platform";
import { ErrorKind, RunEffect, StageError } from "@sardinestage/errors";
import { ConfigRecordKind, configSchema, PublishVerdict } from "@sardinestage/fold-config";
import type { ConfigFollower } from "@sardinestage/follow-config";
import type { ConfigDocument } from "@sardinestage/types";
import { waitAtMost } from "./waitAtMost.js";

interface ConfigPublisherOptions {
    readonly log: LogPort;
    readonly config: ConfigFollower;
    /** Longest wait for a change to be read back, in milliseconds. */
    readonly confirmMs: number;
    /** Time after which a change that has not been read back is appended again, in milliseconds. */
    readonly resendMs: number;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
}

const CONFIG_STREAM = "config";
const MAX_CONFLICT_RETRIES = 10;

/** Appends changes of the configuration to the log and reports whether they were accepted. */
export class ConfigPublisher {
    constructor(private readonly options: ConfigPublisherOptions) {}

    /**
     * Publishes a whole configuration.
     *
     * @param changeId Identifies the change. Repeated calls with the same id have the effect of one call.
     * @param basedOn The version on which the change is based.
     * @returns The new version, after its record has been read back from the log.
     * @throws StageError `InvalidConfig`, `VersionConflict` or `LogUnavailable`.
     */
    async publish(changeId: string, basedOn: number, document: ConfigDocument, operator: string): Promise<number> {
        checkDocument(document);
        const id = `publish:${changeId}`;
        const seen = this.options.config.history.getVerdict(id);
        if (seen === undefined) {
            await this.appendUntilReadBack(id, { kind: ConfigRecordKind.Publish, basedOn, operator, document });
        }
        return this.resolveVerdict(id, basedOn);
    }

    /**
     * Changes the current configuration. If another change is accepted at the same time, the change is applied again to
     * the new version.
     *
     * @param changeId Identifies the change, as in {@link publish}.
     * @param change Creates the new document from the current one; may throw.
     * @returns The new version.
     * @throws StageError `InvalidConfig`, `VersionConflict` or `LogUnavailable`.
     */
    async update(
        changeId: string,
        operator: string,
        change: (current: ConfigDocument) => ConfigDocument,
    ): Promise<number> {
        for (let round = 0;; round++) {
            const { version, document } = this.options.config.history.getCurrent();
            const roundId = `${changeId}#${round}`;
            const earlier = this.options.config.history.getVerdict(`publish:${roundId}`);
            if (earlier === PublishVerdict.Accepted) {
                return this.resolveVerdict(`publish:${roundId}`, version - 1);
            }
            try {
                return await this.publish(roundId, version, change(document), operator);
            }
            catch (failure) {
                const conflict = failure instanceof StageError && failure.kind === ErrorKind.VersionConflict;
                if (!conflict || round >= MAX_CONFLICT_RETRIES) {
                    throw failure;
                }
            }
        }
    }

    private resolveVerdict(id: string, basedOn: number): number {
        const { history } = this.options.config;
        switch (history.getVerdict(id)) {
            case PublishVerdict.Accepted:
                return history.listVersions().find(each => each.changeId === id)?.version ?? basedOn + 1;
            case PublishVerdict.Invalid:
                throw new StageError(
                    ErrorKind.InvalidConfig,
                    "The configuration is invalid.",
                    "Correct it.",
                );
            default:
                throw new StageError(
                    ErrorKind.VersionConflict,
                    `Version ${basedOn} is not the one in force any more; ${history.getCurrent().version} is.`,
                    "Read the configuration in force, make the change from it, and publish under a new change id.",
                );
        }
    }

    private async appendUntilReadBack(id: string, data: object): Promise<void> {
        const { log, config, confirmMs, resendMs, now } = this.options;
        const seen = config.waitForRecord(id);
        const limitMs = now() + confirmMs;
        while (now() < limitMs) {
            await log.append(CONFIG_STREAM, [{ id, data }]);
            if (await waitAtMost(seen, Math.min(resendMs, limitMs - now()))) {
                return;
            }
        }
        throw new StageError(
            ErrorKind.LogUnavailable,
            "The change was not read back from the platform's log in time.",
            "Repeat the call with the same change id.",
            RunEffect.MayHaveRun,
        );
    }
}

function checkDocument(document: ConfigDocument): void {
    const checked = configSchema.document.safeParse(document);
    if (!checked.success) {
        const faults = checked.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ");
        throw new StageError(
            ErrorKind.InvalidConfig,
            `The configuration is invalid: ${faults}.`,
            "Correct what is named.",
        );
    }
}
