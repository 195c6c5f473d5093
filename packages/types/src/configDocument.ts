import type { ServiceSpec } from "./serviceSpec.js";
import type { TeamQuota } from "./teamQuota.js";

/** The complete configuration that operators publish; each version replaces the previous one. */
export interface ConfigDocument {
    readonly services: readonly ServiceSpec[];
    readonly teams: readonly TeamQuota[];
    /** Share of the processors that is guaranteed to batch work, 0 to 1. */
    readonly batchShare: number;
    /** Names of the workers that accept no new work until they are restored. */
    readonly drainedWorkers: readonly string[];
}
