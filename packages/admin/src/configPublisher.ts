import type { LogPort } from "@sardinestage/call-platform";
import { ErrorKind, RunEffect, StageError } from "@sardinestage/errors";
import { ConfigRecordKind, configSchema, PublishVerdict } from "@sardinestage/fold-config";
import type { ConfigFollower } from "@sardinestage/follow-config";
import type { ConfigDocument } from "@sardinestage/types";
import { waitAtMost } from "./waitAtMost.js";

interface ConfigPublisherOptions {
    readonly log: LogPort;
    readonly config: ConfigFollower;
    readonly confirmMs: number;
    readonly resendMs: number;
    readonly now: () => number;
}

const CONFIG_STREAM = "config";
const MAX_CONFLICTS = 10;

/** Offers changes of the configuration to the log and tells what its order made of them. */
export class ConfigPublisher {
    constructor(private readonly options: ConfigPublisherOptions) {}

    /**
     * Publishes a whole configuration.
     *
     * @param changeId Repeating it has one effect.
     * @param basedOn The version that the change was made from.
     * @returns The version that it became, said only after the record was read back.
     * @throws StageError `InvalidConfig`, `VersionConflict` or `LogUnavailable`.
     */
    async publish(changeId: string, basedOn: number, document: ConfigDocument, operator: string): Promise<number> {
        checkDocument(document);
        const id = `publish:${changeId}`;
        const seen = this.options.config.history.getVerdict(id);
        if (seen === undefined) {
            await this.appendUntilSeen(id, { kind: ConfigRecordKind.Publish, basedOn, operator, document });
        }
        return this.resolveVerdict(id, basedOn);
    }

    /**
     * Changes the configuration in force; made anew when somebody else's change was accepted in between.
     *
     * @param change Makes the new document from the one in force; may throw.
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
                if (!conflict || round >= MAX_CONFLICTS) {
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
                throw new StageError(ErrorKind.InvalidConfig, "The configuration is invalid.", "Correct it.");
            default:
                throw new StageError(
                    ErrorKind.VersionConflict,
                    `Version ${basedOn} is not the one in force any more; ${history.getCurrent().version} is.`,
                    "Read the configuration in force, make the change from it, and publish under a new change id.",
                );
        }
    }

    private async appendUntilSeen(id: string, data: object): Promise<void> {
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
