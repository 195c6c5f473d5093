import { describe, expect, it } from "@jest/globals";
import { createBoundedLogger } from "./createBoundedLogger.js";

function collectEvents(act: (log: ReturnType<typeof createBoundedLogger>) => void): string[] {
    const events: string[] = [];
    const log = createBoundedLogger({ process: "vm", domain: "domain" }, "info", line => {
        events.push((JSON.parse(line) as { event: string }).event);
    });
    act(log);
    return events;
}

describe("createBoundedLogger", () => {
    describe("when one event floods the log", () => {
        it("drops most of it", () => {
            const events = collectEvents(log => {
                for (let index = 0; index < 5000; index++) {
                    log.info("run-order");
                }
            });
            // The flood may fall into two seconds.
            expect(events.length).toBeLessThanOrEqual(802);
        });

        it("doesn't lose the rare event that tells the cause", () => {
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
