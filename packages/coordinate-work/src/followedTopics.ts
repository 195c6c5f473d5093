import { Topic } from "@sardinestage/describe-ports";

/** How a coordinator reads each topic; times in milliseconds. */
export const followedTopics = {
    /** A connection that went silent shows only after the wait; the pause has a burst come in few reads. */
    jobs: { topic: Topic.Jobs, name: "jobs", waitMs: 2000, pauseMs: 10 },
    /** The list changes all the time, so that a read that waits would be no cheaper. */
    workers: { topic: Topic.Workers, name: "workers", waitMs: 0, pauseMs: 400 },
    /** Read once, at the takeover. */
    progress: { topic: Topic.Progress, name: "progress", waitMs: 0, pauseMs: 0 },
} as const;
