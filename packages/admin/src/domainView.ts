import type { LogPort } from "@sardinestage/call-platform";
import type { Metrics } from "@sardinestage/count-metrics";
import { Logbook } from "@sardinestage/fold-tasks";
import { TaskStream } from "@sardinestage/follow-tasks";
import type { AdminSettings } from "./adminSettings.js";

interface DomainViewOptions {
    readonly settings: AdminSettings;
    readonly domain: string;
    readonly log: LogPort;
    readonly metrics: Metrics;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
}

/** The administration's view of one failure domain, computed from the log: tasks and logbook. */
export class DomainView {
    readonly domain: string;
    readonly stream: TaskStream;
    readonly logbook: Logbook;

    constructor(options: DomainViewOptions) {
        const { settings, domain, log, metrics, now } = options;
        this.domain = domain;
        this.logbook = new Logbook(settings.admin.logbookEntries);
        this.stream = new TaskStream({ domain, platform: settings.platform, log, metrics, now });
        this.stream.onRecordApplied = (record, { offset, appendedAtMs }) => {
            this.logbook.recordEffect(this.stream.ledger, record, offset, appendedAtMs);
        };
    }
}
