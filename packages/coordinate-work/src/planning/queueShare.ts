import type { QueueLoad } from "@sardinestage/share-capacity";

/** A queue's load and its share of the capacity, for reports. */
export interface QueueShare extends QueueLoad {
    readonly queue: string;
    readonly service: string;
    readonly priority: number;
    /** What the queue wants, up to the level that all queues get, in thousandths of a core. */
    readonly shareCpuMillis: number;
}
