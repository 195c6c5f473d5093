import type { OperatorConfig, UpkeepWave } from "@sardinestage/describe-work";
import type { EvacuationRecord } from "@sardinestage/track-evacuations";

/**
 * A decoded record of the operator topic: a version of the configuration, an upkeep wave, or the start or end of a failure
 * domain's evacuation.
 */
export type OperatorRecord =
    | { readonly config: OperatorConfig; readonly wave?: undefined; readonly evacuation?: undefined }
    | { readonly config?: undefined; readonly wave: UpkeepWave; readonly evacuation?: undefined }
    | {
        readonly config?: undefined;
        readonly wave?: undefined;
        readonly evacuation: EvacuationRecord;
        /** What is wrong with the record; undefined if it is well-formed. */
        readonly problem?: string;
    };
