import type { TermHolder } from "./termHolder.js";

/** A process that may become the coordinator. */
export type Candidate = Omit<TermHolder, "term">;
