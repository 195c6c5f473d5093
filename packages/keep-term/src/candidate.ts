import type { TermHolder } from "./termHolder.js";

/** A process that may become the coordinator. */
export type Candidate = Omit<TermHolder, "term"> & {
    /** The failure domain of the process's VM; undefined if the VM's build doesn't name it. */
    readonly domain?: string;
};
