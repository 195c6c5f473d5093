import { describe, expect, it } from "@jest/globals";
import { ConfigLag } from "./configLag.js";

describe("ConfigLag", () => {
    describe("when configurations come in quick succession and the store delivers each", () => {
        it("doesn't ask another VM to send any of them", () => {
            const lag = new ConfigLag();
            const stale: boolean[] = [];
            for (let version = 1; version < 30; version++) {
                lag.noteVersions(version, version + 1, version * 250);
                stale.push(lag.isStale(version * 250));
            }
            expect(stale).not.toContain(true);
        });
    });

    describe("when the store doesn't deliver one", () => {
        it("asks another VM to send it within a second", () => {
            const lag = new ConfigLag();
            lag.noteVersions(1, 2, 0);
            lag.noteVersions(1, 2, 250);
            expect(lag.isStale(250)).toBe(false);
            lag.noteVersions(1, 3, 750);
            expect(lag.isStale(750)).toBe(true);
            lag.noteVersions(3, 3, 1000);
            expect(lag.isStale(1000)).toBe(false);
        });
    });
});
