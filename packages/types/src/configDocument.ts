import type { ServiceSpec } from "./serviceSpec.js";
import type { TeamQuota } from "./teamQuota.js";

/** The whole configuration that operators publish; one version replaces the last. */
export interface ConfigDocument {
    readonly services: readonly ServiceSpec[];
    readonly teams: readonly TeamQuota[];
    /** Share of the processors that batch work is guaranteed, 0 to 1. */
    readonly batchShare: number;
    /** Workers that take no new work until they are restored. */
    readonly drainedWorkers: readonly string[];
}
