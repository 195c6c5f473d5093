import type { QueueConfig } from "@sardinestage/describe-work";

/** Creates a queue's configuration for a test, which passes the fields that it needs to differ. */
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
