import type { AppendAnswer } from "./appendAnswer.js";
import type { AppendCall } from "./appendCall.js";
import type { NewestRecordsPage } from "./newestRecordsPage.js";
import type { PageOptions } from "./pageOptions.js";
import type { ReadAnswer } from "./readAnswer.js";
import type { Topic } from "./topic.js";

/** The platform's store of topics. The returned promises never reject; a failure is part of the answer. */
export interface StorePort {
    append(call: AppendCall): Promise<AppendAnswer>;
    /** Reads records from the offset `from` on; if there are none, waits up to `waitMs` milliseconds for the first. */
    read(topic: Topic, from: number, waitMs: number): Promise<ReadAnswer>;
    /**
     * Reads a page of the newest record of each key, in key order, after `afterKey` or from the first key.
     *
     * @param options By default the timeout is that of a short read.
     */
    readNewest(topic: Topic, afterKey: string | undefined, options?: PageOptions): Promise<NewestRecordsPage>;
}
