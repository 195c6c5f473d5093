import { Topic } from "@sardinestage/describe-ports";

/**
 * How a coordinator follows each topic: how long a read waits for a record, and the pause between reads, in
 * milliseconds.
 */
export const followedTopics = {
    /** A dead connection is noticed only after the wait. The pause lets a burst of records arrive in few reads. */
    jobs: { topic: Topic.Jobs, name: "jobs", waitMs: 2000, pauseMs: 10 },
    /** The list changes all the time, so that reads that wait for a change would save nothing. */
    workers: { topic: Topic.Workers, name: "workers", waitMs: 0, pauseMs: 400 },
    /** Read only once, at the takeover. */
    progress: { topic: Topic.Progress, name: "progress", waitMs: 0, pauseMs: 0 },
} as const;
