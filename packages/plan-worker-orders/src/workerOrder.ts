import type { TaskSpec } from "@sardinestage/types";
import type { OrderKind } from "./orderKind.js";

/** An order of a holder to its worker. */
export type WorkerOrder =
    | {
        readonly kind: OrderKind.Start;
        readonly taskId: string;
        readonly generation: number;
        readonly attempt: number;
        readonly spec: TaskSpec;
        readonly checkpoint?: string;
    }
    | {
        readonly kind: OrderKind.Stop | OrderKind.Evict;
        readonly taskId: string;
        readonly attempt: number;
        readonly reason: string;
    }
    | {
        readonly kind: OrderKind.Throttle;
        readonly taskId: string;
        readonly attempt: number;
        readonly share: number;
        readonly reason: string;
    };
