import type { ConfigDocument } from "@sardinestage/types";

interface ConfigView {
    /** Replicas of each service by failure domain. */
    readonly services: Readonly<Record<string, Readonly<Record<string, number>>>>;
    /** How long one request takes alone, in milliseconds. */
    readonly serviceMs: number;
    readonly concurrency: number;
    readonly batchShare: number;
}

/** A configuration with two teams, as an operator publishes it. */
export function createConfig(view: ConfigView): ConfigDocument {
    const { serviceMs, concurrency, batchShare } = view;
    return {
        services: Object.entries(view.services).map(([name, replicas]) => ({
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
