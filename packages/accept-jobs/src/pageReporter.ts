import type { Clock } from "@sardinestage/describe-ports";
import type { EventLogger } from "@sardinestage/log-events";
import { SecondTimer } from "./secondTimer.js";

/** Logs once a second what the pages of a topic have cost a reader. */
export class PageReporter {
    private readonly timer: SecondTimer;
    private pages = 0;
    private failedPages = 0;
    private bytes = 0;
    private longestMs = 0;

    /** @param topic Name of the topic in log lines. */
    constructor(clock: Clock, private readonly logger: EventLogger, private readonly topic: string) {
        this.timer = new SecondTimer(clock, () => this.report());
    }

    /**
     * Notes a page.
     *
     * @param bytes Its approximate size; undefined for one that failed.
     */
    notePage(bytes: number | undefined, tookMs: number): void {
        this.pages++;
        this.failedPages += bytes === undefined ? 1 : 0;
        this.bytes += bytes ?? 0;
        this.longestMs = Math.max(this.longestMs, tookMs);
        this.timer.noteEvent();
    }

    /** Logs what isn't logged yet. */
    flush(): void {
        this.timer.flush();
    }

    private report(): void {
        const { topic, pages, failedPages } = this;
        this.logger.info("store-pages-read", {
            topic,
            pages,
            failedPages,
            bytes: Math.round(this.bytes),
            longestMs: Math.round(this.longestMs),
        });
        this.pages = 0;
        this.failedPages = 0;
        this.bytes = 0;
        this.longestMs = 0;
    }
}
