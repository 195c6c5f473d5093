import type { ChangedRecordKind } from "./changedRecordKind.js";
import type { PartKey } from "./partKey.js";
import type { StepRun } from "./stepRun.js";

/** A record of a job's progress that the store doesn't have in its present form. */
export interface ChangedRecord {
    readonly kind: ChangedRecordKind;
    readonly key: string;
    /** The tasks of a record of kind `Part`. */
    readonly part?: { readonly key: PartKey; readonly step: StepRun };
}
