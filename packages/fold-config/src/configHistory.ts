import type { LogRecord } from "@sardinestage/call-platform";
import type { ConfigDocument } from "@sardinestage/types";
import { ConfigRecordKind } from "./configRecordKind.js";
import { configSchema } from "./configSchema.js";
import type { ConfigVersion } from "./configVersion.js";
import { PublishVerdict } from "./publishVerdict.js";

const KEPT_VERSIONS = 50;
const KEPT_VERDICTS = 2000;
const EMPTY: ConfigVersion = {
    version: 0,
    document: { services: [], teams: [], batchShare: 0, drainedWorkers: [] },
    changeId: "",
    operator: "",
    acceptedAtMs: 0,
};

/**
 * The configuration as the log's order decides it. Every process applies the same check to the same records, so all
 * agree on which of two racing changes was accepted. The version in force never falls.
 */
export class ConfigHistory {
    private readonly versions: ConfigVersion[] = [EMPTY];
    private readonly verdicts = new Map<string, PublishVerdict>();
    private writtenAtMs = 0;

    /** The newest accepted configuration. */
    getCurrent(): ConfigVersion {
        return this.versions[this.versions.length - 1];
    }

    /** When the newest copy of the current version was appended to the log, in Unix milliseconds. */
    getWrittenAtMs(): number {
        return this.writtenAtMs;
    }

    /** The newest versions, oldest first. */
    listVersions(): readonly ConfigVersion[] {
        return this.versions;
    }

    /** What became of a change, once it was read back. */
    getVerdict(changeId: string): PublishVerdict | undefined {
        return this.verdicts.get(changeId);
    }

    /** Takes the next record of the stream. */
    applyRecord(record: LogRecord): void {
        const parsed = configSchema.record.safeParse(record.data);
        if (!parsed.success) {
            this.setVerdict(record.id, PublishVerdict.Invalid);
        }
        else if (parsed.data.kind === ConfigRecordKind.Publish) {
            this.applyPublish(record, parsed.data);
        }
        else {
            this.acceptFromElsewhere(parsed.data.version, parsed.data.document, record.appendedAtMs);
            this.noteWritten(parsed.data.version, record.appendedAtMs);
        }
    }

    /** Takes a configuration from a retained copy or from a peer, when it is newer. */
    acceptFromElsewhere(version: number, document: unknown, acceptedAtMs: number): void {
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
            this.setVerdict(record.id, this.checkPeerLead(change.basedOn, checked.data));
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
            this.noteWritten(current.version + 1, record.appendedAtMs);
        }
    }

    private noteWritten(version: number, atMs: number): void {
        if (version === this.getCurrent().version) {
            this.writtenAtMs = atMs;
        }
    }

    /** A process that took a version from a peer meets the accepted record of that version later. */
    private checkPeerLead(basedOn: number, document: ConfigDocument): PublishVerdict {
        const accepted = this.versions.find(each => each.version === basedOn + 1);
        const same = accepted?.changeId === "" && JSON.stringify(accepted.document) === JSON.stringify(document);
        return same ? PublishVerdict.Accepted : PublishVerdict.Conflict;
    }

    private addVersion(version: ConfigVersion): void {
        this.versions.push(version);
        if (this.versions.length > KEPT_VERSIONS) {
            this.versions.shift();
        }
    }

    private setVerdict(id: string, verdict: PublishVerdict): void {
        this.verdicts.set(id, verdict);
        if (this.verdicts.size > KEPT_VERDICTS) {
            this.verdicts.delete(this.verdicts.keys().next().value ?? id);
        }
    }
}
