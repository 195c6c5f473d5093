import type { OperatorConfig, UpkeepWave } from "@sardinestage/describe-work";

/** A decoded record of the operator topic: a version of the configuration, or an upkeep wave. */
export type OperatorRecord =
    | { readonly config: OperatorConfig; readonly wave?: undefined }
    | { readonly config?: undefined; readonly wave: UpkeepWave };
