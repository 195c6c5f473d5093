import type { UpkeepWave, WorkConfig } from "@sardinestage/describe-work";

/** What one record of the operator holds. */
export type OperatorRecord =
    | { readonly config: WorkConfig; readonly wave?: undefined }
    | { readonly config?: undefined; readonly wave: UpkeepWave };
