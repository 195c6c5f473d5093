import type { OrderOutcome } from "@sardinestage/describe-ports";
import type { EndRow } from "./endRow.js";
import type { RunRow } from "./runRow.js";

/** The encoded answer to a call; the answer to a lease renewal carries the worker's report. */
export type AnswerRow =
    | [id: number, outcome: OrderOutcome]
    | [id: number, outcome: OrderOutcome, clockMs: number, bornMs: number, running: RunRow[], ended: EndRow[]];
