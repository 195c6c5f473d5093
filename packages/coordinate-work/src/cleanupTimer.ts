import type { CoordinatorParts } from "./coordinatorParts.js";
import { describeFleet } from "./describeFleet.js";
import { describeSlowness } from "./describeSlowness.js";
import type { JobRegistry } from "./jobs/jobRegistry.js";
import { LearnedEstimates } from "./records/learnedEstimates.js";
import type { ProgressWriter } from "./records/progressWriter.js";
import type { RecordCleaner } from "./records/recordCleaner.js";
import type { Fleet } from "./workers/fleet.js";

/** Interval between two clean-ups of the records of ended jobs, in milliseconds. */
const CLEANUP_INTERVAL_MS = 2000;

/** Reserve for the key of the record of estimates within the store's limit of a record, in bytes. */
const RECORD_RESERVE_BYTES = 64;

/** Dependencies of a cleanup timer. */
interface CleanupTimerParts {
    readonly jobs: JobRegistry;
    readonly fleet: Fleet;
    readonly writer: ProgressWriter;
    readonly learned: LearnedEstimates;
    readonly recordCleaner: RecordCleaner;
}

/** Logs a summary of the fleet, records what was learned and drops obsolete records, again and again until closed. */
export class CleanupTimer {
    private cancel: (() => void) | undefined;
    private isClosed = false;

    constructor(private readonly parts: CoordinatorParts, private readonly collaborators: CleanupTimerParts) {}

    /** Schedules the next clean-up, and those after it. */
    start(): void {
        if (!this.isClosed) {
            this.cancel = this.parts.clock.schedule(CLEANUP_INTERVAL_MS, () => this.run());
        }
    }

    /** Stops all clean-ups. */
    close(): void {
        this.isClosed = true;
        this.cancel?.();
    }

    private run(): void {
        const { jobs, fleet, writer, learned, recordCleaner } = this.collaborators;
        const { logger, clock } = this.parts;
        const workers = [...fleet.workers.values()];
        logger.info("fleet-summary", {
            ...describeFleet(jobs, workers, clock.getWallTime()),
            ...this.parts.rules.features.copiesSlowTasks && describeSlowness(workers, clock.getNow()),
        });
        const maxBytes = this.parts.rules.storeLimits.maxRecordBytes - RECORD_RESERVE_BYTES;
        writer.schedule(LearnedEstimates.KEY, () => learned.encodeState(maxBytes));
        void recordCleaner.dropObsolete().finally(() => this.start());
    }
}
