import { z } from "zod";
import { settingFields } from "./settingFields.js";

const { createAddress, createBytes, createCount, createKey, createMilliseconds, createName, createPort, createUrl } =
    settingFields;

/** Settings sections that all processes have in common. */
export const commonSections = {
    process: z.strictObject({
        name: createName("Unique name of this process."),
        vm: createName("Name of the VM as the platform lists it."),
        domain: createName("Failure domain of the VM."),
        region: createName("Region of the failure domain."),
        address: createAddress("Address on which the process listens."),
        logLevel: z.enum(["info", "warn", "error"]).default("info")
            .meta({ unit: "level", description: "Least severe level that is logged." }),
        metricsPort: createPort("Port of /metrics, /status and /health."),
        drainMs: createMilliseconds(30_000, 0, 600_000, "Longest time that a drain waits for work in progress."),
    }),
    platform: z.strictObject({
        logUrl: createUrl("Base URL of the platform's log."),
        listUrl: createUrl("URL of the platform's VM list."),
        callTimeoutMs: createMilliseconds(2_000, 50, 60_000, "Bound on one call of the platform."),
        readWaitMs: createMilliseconds(1_000, 10, 30_000, "How long a read of the log waits for new records."),
        listIntervalMs: createMilliseconds(1_000, 100, 60_000, "Time between two reads of the VM list."),
        appendFlushMs: createMilliseconds(50, 1, 10_000, "Records gather so long before they are appended together."),
        resendMs: createMilliseconds(2_000, 50, 60_000, "A record that was not read back is sent again after this."),
        maxPendingRecords: createCount(20_000, 10, 1_000_000, "Records kept while the log takes none."),
    }),
    peers: z.strictObject({
        key: createKey("Shared by all processes of one installation."),
        timeoutMs: createMilliseconds(1_000, 20, 60_000, "Bound on one request to a peer."),
        statusIntervalMs: createMilliseconds(1_000, 50, 60_000, "Time between two status exchanges with a peer."),
        maxFrameBytes: createBytes(4_194_304, 1_024, 67_108_864, "Largest frame taken from a peer."),
        maxConnections: createCount(256, 1, 10_000, "Connections taken from peers at once."),
    }),
};
