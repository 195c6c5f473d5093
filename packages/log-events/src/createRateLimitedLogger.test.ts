import { describe, expect, it } from "@jest/globals";
import { createRateLimitedLogger } from "./createRateLimitedLogger.js";

function collectEvents(logEvents: (log: ReturnType<typeof createRateLimitedLogger>) => void): string[] {
    const events: string[] = [];
    const log = createRateLimitedLogger({ process: "vm", domain: "domain" }, "info", line => {
        events.push((JSON.parse(line) as { event: string }).event);
    });
    logEvents(log);
    return events;
}

describe("createRateLimitedLogger", () => {
    describe("when one event floods the log", () => {
        it("drops the lines over the limit", () => {
            const events = collectEvents(log => {
                for (let index = 0; index < 5000; index++) {
                    log.info("run-order");
                }
            });
            // The flood may span two seconds, each with a limit of 400 lines; a further line counts the dropped ones.
            expect(events.length).toBeLessThanOrEqual(802);
        });

        it("still writes a rare event", () => {
            const events = collectEvents(log => {
                for (let index = 0; index < 5000; index++) {
                    log.info("run-order");
                }
                log.info("takeover");
            });
            expect(events).toContain("takeover");
        });
    });
});
