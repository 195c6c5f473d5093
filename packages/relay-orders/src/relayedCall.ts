import type { LeaseRenewal, StartOrder, WorkerAddress } from "@sardinestage/describe-ports";
import type { TaskRef } from "@sardinestage/describe-work";
import type { RelayedCallKind } from "./relayedCallKind.js";

/** A call to a worker that a relay makes for the coordinator. */
export type RelayedCall =
    | { readonly kind: RelayedCallKind.RenewLease; readonly worker: WorkerAddress; readonly order: LeaseRenewal }
    | {
        readonly kind: RelayedCallKind.Stop;
        readonly worker: WorkerAddress;
        readonly task: TaskRef;
        readonly run: number;
        readonly fence: number;
    }
    | {
        readonly kind: RelayedCallKind.Pace;
        readonly worker: WorkerAddress;
        readonly task: TaskRef;
        readonly run: number;
        readonly percent: number;
        readonly fence: number;
    }
    | { readonly kind: RelayedCallKind.Start; readonly worker: WorkerAddress; readonly order: StartOrder };
