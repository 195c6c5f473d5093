import type { TermHolder } from "./termHolder.js";

/** A process that may coordinate. */
export type Candidate = Omit<TermHolder, "term">;
