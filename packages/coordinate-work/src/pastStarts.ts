import type { ProgressWriter } from "./progressWriter.js";

/**
 * Knows whether earlier coordinators may have started work that isn't recorded. What workers list until starts may
 * begin is known here; a successor knows it only once it is recorded.
 */
export class PastStarts {
    private areHeard = false;
    /** Whether nothing of the kind is left. */
    areRecorded: boolean;

    constructor(hadUnrecordedStarts: boolean, private readonly writer: ProgressWriter) {
        this.areRecorded = !hadUnrecordedStarts;
    }

    /** Notes that all workers that may run something have told of it, or have lapsed. */
    noteHeard(): void {
        if (!this.areHeard) {
            this.areHeard = true;
            this.writer.waitRecorded(() => this.areRecorded = true, false);
        }
    }
}
