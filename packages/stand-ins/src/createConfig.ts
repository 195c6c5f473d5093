import type { ConfigDocument } from "@sardinestage/types";

/** The parts of the configuration that tests vary. */
interface ConfigOptions {
    /** Replicas of each service by failure domain. */
    readonly services: Readonly<Record<string, Readonly<Record<string, number>>>>;
    /** Time that one request takes without interference, in milliseconds. */
    readonly serviceMs: number;
    readonly concurrency: number;
    readonly batchShare: number;
}

/** Creates a configuration with two teams, in the form in which an operator publishes it. */
export function createConfig(options: ConfigOptions): ConfigDocument {
    const { serviceMs, concurrency, batchShare } = options;
    return {
        services: Object.entries(options.services).map(([name, replicas]) => ({
            name,
            team: "records",
            replicas,
            size: { cpuMillis: 2_000, memoryMb: 2_000, accelerators: 0, slots: 1 },
            concurrency,
            payload: JSON.stringify({ serviceMs, concurrency }),
        })),
        teams: [
            { team: "records", guaranteedShare: 0.5, maximumShare: 1 },
            { team: "plans", guaranteedShare: 0.4, maximumShare: 1 },
        ],
        batchShare,
        drainedWorkers: [],
    };
}
