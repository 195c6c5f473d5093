import type { Occurrence } from "./occurrence.js";

/** The open occurrences of a job of which no task has had a run, by the reason for which they were opened. */
export class UnstartedOccurrences {
    /** Occurrences that were opened as the oldest that were due. */
    readonly oldest = new Set<Occurrence>();
    /** Occurrences that were opened as the newest that were due. */
    readonly newest = new Set<Occurrence>();

    /** Adds an occurrence that was opened as the oldest one. */
    addOldest(occurrence: Occurrence | undefined): void {
        if (occurrence !== undefined) {
            this.oldest.add(occurrence);
        }
    }

    /** Adds an occurrence that was opened as the newest one. */
    addNewest(occurrence: Occurrence | undefined): void {
        if (occurrence !== undefined) {
            this.newest.add(occurrence);
        }
    }

    /** Drops the occurrences that have started since. */
    dropStarted(): void {
        for (const occurrences of [this.oldest, this.newest]) {
            for (const occurrence of occurrences) {
                if (occurrence.isStarted || occurrence.isDone) {
                    occurrences.delete(occurrence);
                }
            }
        }
    }
}
