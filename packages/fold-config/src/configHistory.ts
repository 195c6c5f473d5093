import type { LogRecord } from "@sardinestage/call-platform";
import type { ConfigDocument } from "@sardinestage/types";
import { ConfigRecordKind } from "./configRecordKind.js";
import { configSchema } from "./configSchema.js";
import type { ConfigVersion } from "./configVersion.js";
import { PublishVerdict } from "./publishVerdict.js";

/** Versions kept for operators to list and for comparing copies from peers. */
const MAX_VERSIONS = 50;
/** Verdicts kept, so that a repeated change gets the same answer. */
const MAX_VERDICTS = 2000;
const EMPTY_VERSION: ConfigVersion = {
    version: 0,
    document: { services: [], teams: [], batchShare: 0, drainedWorkers: [] },
    changeId: "",
    operator: "",
    acceptedAtMs: 0,
};

/**
 * The history of the configuration, computed from the records of the log in their order. Every process applies the same
 * checks to the same records, so all processes agree on which of two concurrent changes was accepted. The current
 * version never decreases.
 */
export class ConfigHistory {
    private readonly versions: ConfigVersion[] = [EMPTY_VERSION];
    private readonly verdicts = new Map<string, PublishVerdict>();
    private lastAppendedAtMs = 0;

    /** Returns the newest accepted configuration. */
    getCurrent(): ConfigVersion {
        return this.versions[this.versions.length - 1];
    }

    /** Returns when the newest record of the current version was appended to the log, in Unix milliseconds. */
    getLastAppendedAtMs(): number {
        return this.lastAppendedAtMs;
    }

    /** Lists the newest versions, oldest first. */
    listVersions(): readonly ConfigVersion[] {
        return this.versions;
    }

    /** Returns the verdict on a change, or `undefined` if its record has not been read back. */
    getVerdict(changeId: string): PublishVerdict | undefined {
        return this.verdicts.get(changeId);
    }

    /** Applies the next record of the stream. */
    applyRecord(record: LogRecord): void {
        const parsed = configSchema.record.safeParse(record.data);
        if (!parsed.success) {
            this.setVerdict(record.id, PublishVerdict.Invalid);
        }
        else if (parsed.data.kind === ConfigRecordKind.Publish) {
            this.applyPublish(record, parsed.data);
        }
        else {
            this.acceptCopy(parsed.data.version, parsed.data.document, record.appendedAtMs);
            this.noteAppended(parsed.data.version, record.appendedAtMs);
        }
    }

    /** Accepts a copy of a configuration, from a retention record or from a peer, if it is valid and newer. */
    acceptCopy(version: number, document: unknown, acceptedAtMs: number): void {
        const checked = configSchema.document.safeParse(document);
        if (checked.success && version > this.getCurrent().version) {
            this.addVersion({ version, document: checked.data, changeId: "", operator: "", acceptedAtMs });
        }
    }

    private applyPublish(record: LogRecord, change: { basedOn: number; operator: string; document: unknown }): void {
        if (this.verdicts.has(record.id)) {
            return;
        }
        const current = this.getCurrent();
        const checked = configSchema.document.safeParse(change.document);
        if (!checked.success) {
            this.setVerdict(record.id, PublishVerdict.Invalid);
        }
        else if (change.basedOn !== current.version) {
            this.setVerdict(record.id, this.resolveCopyVerdict(change.basedOn, checked.data));
        }
        else {
            this.setVerdict(record.id, PublishVerdict.Accepted);
            this.addVersion({
                version: current.version + 1,
                document: checked.data,
                changeId: record.id,
                operator: change.operator,
                acceptedAtMs: record.appendedAtMs,
            });
            this.noteAppended(current.version + 1, record.appendedAtMs);
        }
    }

    private noteAppended(version: number, atMs: number): void {
        if (version === this.getCurrent().version) {
            this.lastAppendedAtMs = atMs;
        }
    }

    /**
     * Returns the verdict on a change that is not based on the current version. If this process got the resulting
     * version from a peer before it read the record, the change is the accepted one; otherwise it is a conflict.
     */
    private resolveCopyVerdict(basedOn: number, document: ConfigDocument): PublishVerdict {
        const accepted = this.versions.find(each => each.version === basedOn + 1);
        const same = accepted?.changeId === "" && JSON.stringify(accepted.document) === JSON.stringify(document);
        return same ? PublishVerdict.Accepted : PublishVerdict.Conflict;
    }

    private addVersion(version: ConfigVersion): void {
        this.versions.push(version);
        if (this.versions.length > MAX_VERSIONS) {
            this.versions.shift();
        }
    }

    private setVerdict(id: string, verdict: PublishVerdict): void {
        this.verdicts.set(id, verdict);
        if (this.verdicts.size > MAX_VERDICTS) {
            this.verdicts.delete(this.verdicts.keys().next().value ?? id);
        }
    }
}
