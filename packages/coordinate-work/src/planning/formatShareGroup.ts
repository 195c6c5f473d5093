import type { QueueConfig } from "@sardinestage/describe-work";

/** Formats the name of the queues that share capacity: those of one service and priority. */
export function formatShareGroup(queue: QueueConfig): string {
    return `${queue.service} ${queue.priority}`;
}
