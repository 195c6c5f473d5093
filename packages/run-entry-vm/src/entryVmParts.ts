import type { CoordinatorRules, PlatformParts } from "@sardinestage/coordinate-work";
import type { WorkConfig } from "@sardinestage/describe-work";
import type { Candidate } from "@sardinestage/keep-term";
import type { EntryVmRules } from "./entryVmRules.js";

/** What one process of an entry VM is made of. */
export interface EntryVmParts extends PlatformParts {
    readonly self: Candidate;
    /** Shared by all processes of an installation. */
    readonly peerKey: string;
    readonly coordinatorRules: CoordinatorRules;
    readonly rules: EntryVmRules;
    /** Processor time that this process has used, in milliseconds. */
    readonly getProcessorMs: () => number;
    /** Called with each newer configuration. */
    readonly onConfig: (config: WorkConfig) => void;
}
