import type { ProgressWriter } from "../records/progressWriter.js";

/**
 * Tracks whether earlier coordinators may have left unrecorded runs. This coordinator knows these runs once all workers
 * have reported; the next coordinator can rely on the records only once the runs are written there.
 */
export class EarlierStarts {
    private areReported = false;
    /** Whether no unrecorded run of earlier coordinators is left. */
    areRecorded: boolean;

    constructor(hadUnrecordedStarts: boolean, private readonly writer: ProgressWriter) {
        this.areRecorded = !hadUnrecordedStarts;
    }

    /** Notes that each worker that may have such runs has reported, or that its lease has expired. */
    noteAllReported(): void {
        if (!this.areReported) {
            this.areReported = true;
            this.writer.runWhenRecorded(() => this.areRecorded = true, false);
        }
    }
}
