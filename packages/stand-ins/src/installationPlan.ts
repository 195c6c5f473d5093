import type { Resources, TaskSpec } from "@sardinestage/types";
import type { DomainPlan } from "./domainPlan.js";

/** Sections of settings that differ from the defaults, by process. */
interface SettingsChanges {
    readonly common?: Readonly<Record<string, object>>;
    readonly entry?: Readonly<Record<string, object>>;
    readonly scheduler?: Readonly<Record<string, object>>;
    readonly admin?: Readonly<Record<string, object>>;
}

/** What a stand-in installation consists of. */
export interface InstallationPlan {
    readonly domains: readonly DomainPlan[];
    /** The region in which the platform stands. */
    readonly platformRegion: string;
    /** One-way delays in milliseconds. */
    readonly domainDelayMs: number;
    readonly regionDelayMs: number;
    readonly workerCapacity: Resources;
    readonly workerConnections: number;
    readonly usageLagMs: number;
    readonly listLagMs: number;
    readonly appendsPerSecond: number;
    readonly retentionMs: number;
    /** Extra time that one task costs another on the same worker, as a share. */
    readonly interference: (victim: TaskSpec, other: TaskSpec) => number;
    readonly settings: SettingsChanges;
    readonly seed: number;
}
