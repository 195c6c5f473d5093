import type { KeyedRecord } from "@sardinestage/describe-ports";
import type { SubmitOutcome } from "./submitOutcome.js";

/** A record whose outcome its caller waits for. */
export interface PendingRecord {
    readonly record: KeyedRecord;
    /** When the caller stops waiting, in steady milliseconds. */
    readonly untilMs: number;
    readonly settle: (outcome: SubmitOutcome) => void;
}
