import type { Evacuation } from "./evacuation.js";

/** The evacuations as far as they are known now. */
export interface EvacuationView {
    /** Whether all records of the operator up to some offset are known, so that a domain that isn't listed is in use. */
    readonly isKnown: boolean;
    /** Whether no task may start on the workers of a failure domain. */
    isEvacuated(domain: string): boolean;
    /** Lists the evacuated failure domains. */
    list(): readonly Evacuation[];
}
