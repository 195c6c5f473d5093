import type { VmRecord } from "@sardinestage/types";
import type { ManagedProcess } from "./managedProcess.js";

/** One entry VM of a stand-in installation: its record, processes and ports. */
export interface EntryVm {
    readonly record: VmRecord;
    readonly entry: ManagedProcess;
    readonly scheduler: ManagedProcess;
    readonly admin: ManagedProcess;
    readonly ports: {
        readonly caller: number;
        readonly entryMetrics: number;
        readonly schedulerMetrics: number;
        readonly adminMetrics: number;
        readonly admin: number;
    };
}
