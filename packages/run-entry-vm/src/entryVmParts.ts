import type { CoordinatorRules, PlatformParts } from "@sardinestage/coordinate-work";
import type { OperatorConfig } from "@sardinestage/describe-work";
import type { Candidate } from "@sardinestage/keep-term";
import type { EntryVmRules } from "./entryVmRules.js";

/** Dependencies of an entry VM's process. */
export interface EntryVmParts extends PlatformParts {
    readonly self: Candidate;
    /** Key that all processes of an installation share and present to each other. */
    readonly peerKey: string;
    readonly coordinatorRules: CoordinatorRules;
    readonly rules: EntryVmRules;
    /** Processor time that this process has used, in milliseconds. */
    readonly getProcessorMs: () => number;
    /** Called with each configuration that is applied. */
    readonly onConfig: (config: OperatorConfig) => void;
}
