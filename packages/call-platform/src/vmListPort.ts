import type { StageError } from "@sardinestage/errors";
import type { VmRecord } from "@sardinestage/types";
import type { Result } from "ts-results";

/** The platform's lagging list of VMs. */
export interface VmListPort {
    /** Reads the list as it is known now. */
    list(): Promise<Result<readonly VmRecord[], StageError>>;
}
