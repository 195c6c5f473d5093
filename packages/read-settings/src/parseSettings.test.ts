import { describe, expect, it } from "@jest/globals";
import { readFileSync } from "node:fs";
import { adminSettingsSchema } from "./adminSettingsSchema.js";
import { describeSettings } from "./describeSettings.js";
import { entrySettingsSchema } from "./entrySettingsSchema.js";
import { parseSettings } from "./parseSettings.js";
import { schedulerSettingsSchema } from "./schedulerSettingsSchema.js";

const COMMON = `[process]
name = "s1"
vm = "vm-1"
domain = "gent-haven"
region = "vlaanderen"
address = "127.0.0.1"
metricsPort = 9000
[platform]
logUrl = "http://127.0.0.1:1/log"
listUrl = "http://127.0.0.1:1/vms"
[peers]
key = "0123456789abcdef"
`;
const SCHEDULER = `${COMMON}[scheduler]
peerPort = 9001
`;

describe("parseSettings", () => {
    describe("when the file is valid", () => {
        it("fills in the defaults", () => {
            expect(parseSettings(schedulerSettingsSchema, SCHEDULER).unwrap().leases.renewMs).toBe(1000);
        });
    });

    describe("when the file is invalid", () => {
        it("reports all faults at once, each with its key and line", () => {
            const text = SCHEDULER.replace("address = \"127.0.0.1\"", "address = \"localhost\"")
                .replace("peerPort = 9001", "peerPort = 99999\npeerPrt = 1");
            const faults = parseSettings(schedulerSettingsSchema, text);
            expect(faults.err && faults.val.map(fault => [fault.key, fault.line])).toEqual([
                ["process.address", 6],
                ["scheduler.peerPort", 14],
                ["scheduler.peerPrt", 15],
            ]);
        });

        it("refuses lease times that contradict each other and names the key and line", () => {
            const text = `${SCHEDULER}[leases]\nworkerTtlMs = 1500`;
            const faults = parseSettings(schedulerSettingsSchema, text);
            expect(faults.err && faults.val[0]).toMatchObject({ key: "leases.workerTtlMs", line: 16 });
        });

        it("reports the line of a TOML syntax error", () => {
            const faults = parseSettings(schedulerSettingsSchema, "[process\nname = 1");
            expect(faults.err && faults.val[0].line).toBe(1);
        });
    });
});

describe("docs/SETTINGS.md", () => {
    it("lists every key of every schema with its unit, range and default", () => {
        const page = readFileSync(new URL("../../../docs/SETTINGS.md", import.meta.url), "utf8");
        for (const schema of [entrySettingsSchema, schedulerSettingsSchema, adminSettingsSchema]) {
            for (const row of describeSettings(schema)) {
                expect(page).toContain(row);
            }
        }
    });
});
