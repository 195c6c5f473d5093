import type { StoredRecord } from "@sardinestage/describe-ports";
import type { PageRead } from "./pageRead.js";

/** A read of one key that waits for a page. */
export interface ReadRequest {
    readonly key: string;
    /** When it gives up, in steady milliseconds. */
    readonly untilMs: number;
    readonly settle: (records: readonly StoredRecord[] | undefined) => void;
    /** The page in flight that is to answer the request; undefined if another one has to be requested. */
    page: PageRead | undefined;
}
