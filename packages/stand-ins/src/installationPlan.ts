import type { Resources, TaskSpec } from "@sardinestage/types";
import type { DomainPlan } from "./domainPlan.js";

/** Sections of settings that override the defaults, by process; `common` applies to all processes. */
interface SettingsChanges {
    readonly common?: Readonly<Record<string, object>>;
    readonly entry?: Readonly<Record<string, object>>;
    readonly scheduler?: Readonly<Record<string, object>>;
    readonly admin?: Readonly<Record<string, object>>;
}

/** Size, delays, limits and settings of a stand-in installation. */
export interface InstallationPlan {
    readonly domains: readonly DomainPlan[];
    /** The region in which the platform runs. */
    readonly platformRegion: string;
    /** One-way delay between failure domains of a region, and to a platform in the same region, in milliseconds. */
    readonly domainDelayMs: number;
    /** One-way delay between regions, and to a platform in another region, in milliseconds. */
    readonly regionDelayMs: number;
    readonly workerCapacity: Resources;
    /** Maximum number of open requests of a worker. */
    readonly workerConnections: number;
    /** Age of the usage that workers report, in milliseconds. */
    readonly usageLagMs: number;
    /** Age of the VM list that readers see, in milliseconds. */
    readonly listLagMs: number;
    /** Maximum rate of appends to the log. */
    readonly appendsPerSecond: number;
    /** Age at which the log drops records, in milliseconds. */
    readonly retentionMs: number;
    /** Extra run time that `other` causes for `victim` on the same worker, as a share of `victim`'s time alone. */
    readonly interference: (victim: TaskSpec, other: TaskSpec) => number;
    readonly settings: SettingsChanges;
    /** Seed of the random faults of targets. */
    readonly seed: number;
}
