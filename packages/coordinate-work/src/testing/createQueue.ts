import type { QueueConfig } from "@sardinestage/describe-work";

/** A queue; the test changes what it is about. */
export function createQueue(changes: Partial<QueueConfig> = {}): QueueConfig {
    return {
        name: "queue",
        host: "host",
        pathPrefix: "/queue/",
        service: "service",
        priority: 0,
        maxAttempts: 3,
        stretch: 2,
        targetLatencyMs: 1000,
        ...changes,
    };
}
