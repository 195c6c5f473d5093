import type { CpuUsage } from "./cpuUsage.js";

/** Capacity that the queues of one service and priority use. */
export interface GroupUsage {
    readonly service: string;
    readonly priority: number;
    /** By the name of the queue. */
    readonly queues: ReadonlyMap<string, CpuUsage>;
}
