import type { AppendAnswer } from "./appendAnswer.js";
import type { AppendCall } from "./appendCall.js";
import type { NewestAnswer } from "./newestAnswer.js";
import type { ReadAnswer } from "./readAnswer.js";
import type { Topic } from "./topic.js";

/** The platform's store. No call rejects; failures are outcomes. */
export interface StorePort {
    append(call: AppendCall): Promise<AppendAnswer>;
    /** Reads records from an offset on; waits up to `waitMs` for the first. */
    read(topic: Topic, from: number, waitMs: number): Promise<ReadAnswer>;
    /** Reads the newest record of each key, page by page. */
    readNewest(topic: Topic, afterKey: string | undefined): Promise<NewestAnswer>;
}
