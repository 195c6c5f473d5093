import { parseSettings, schedulerSettingsSchema } from "@sardinestage/read-settings";

/** Settings of the schedulers of a fake domain, with leases of a few ticks. */
export const ownershipSettings = parseSettings(
    schedulerSettingsSchema,
    `
[process]
name = "s"
vm = "v"
domain = "d"
region = "r"
address = "127.0.0.1"
metricsPort = 1
[platform]
logUrl = "http://127.0.0.1:1"
listUrl = "http://127.0.0.1:1"
[peers]
key = "0123456789abcdef"
[scheduler]
peerPort = 1
[leases]
workerTtlMs = 3000
taskTtlMs = 8000
authorityMs = 8000
condemnAfterMs = 2000
startupQuietMs = 3000
`,
).unwrap();
