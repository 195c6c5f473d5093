import type { NewLogRecord } from "@sardinestage/call-platform";
import type { TaskLedger } from "@sardinestage/fold-tasks";
import type { CondemnationController } from "../condemnationController.js";
import type { WorkerControl } from "../workerControl.js";

/** One scheduler process of a fake domain. */
export interface FakeScheduler {
    name: string;
    incarnation: number;
    startedAtMs: number;
    isPaused: boolean;
    isLogUnreachable: boolean;
    ledger: TaskLedger;
    readOffset: number;
    freshAtMs: number;
    continuousSinceMs: number;
    outbox: NewLogRecord[];
    /** Ids of the records that the scheduler has appended and not read back. */
    unreadIds: Set<string>;
    peerStatuses: Map<string, { atMs: number; condemned: readonly string[]; contested: readonly string[] }>;
    controls: Map<string, WorkerControl>;
    condemnationController: CondemnationController;
}
