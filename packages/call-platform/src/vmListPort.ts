import type { StageError } from "@sardinestage/errors";
import type { VmRecord } from "@sardinestage/types";
import type { Result } from "ts-results";

/** The platform's list of VMs, which lags behind the actual state. */
export interface VmListPort {
    /** Reads the current list. */
    list(): Promise<Result<readonly VmRecord[], StageError>>;
}
