import type { Metrics } from "@sardinestage/count-metrics";
import type { Clock, LeaseReport } from "@sardinestage/describe-ports";
import { waitFor } from "@sardinestage/describe-ports";
import type { JobOrigin } from "@sardinestage/describe-work";
import type { JobRegistry } from "./jobRegistry.js";
import type { JobSize } from "./jobSize.js";
import { OpenJobBudget } from "./openJobBudget.js";

/** How long an answer about room for a job waits for the store, in milliseconds; below the VMs' wait for the answer. */
const MAX_READ_MS = 300;

/** Dependencies of `JobLookup`. */
interface JobLookupParts {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly rules: { readonly maxOpenJobBytes?: number };
}

/**
 * Finds out whether jobs are known and whether there is room for new ones. Reads the accepted jobs again before it says
 * that a job isn't known.
 */
export class JobLookup {
    private readonly openJobs: OpenJobBudget;

    /**
     * @param parts The clock, metrics, and the limit of what open jobs may take.
     * @param jobs All jobs that were read.
     * @param refresh Reads the jobs that were accepted since the last read; returns whether that succeeded.
     */
    constructor(
        private readonly parts: JobLookupParts,
        private readonly jobs: JobRegistry,
        private readonly refresh: () => Promise<boolean>,
    ) {
        this.openJobs = new OpenJobBudget(parts, parts.rules.maxOpenJobBytes);
    }

    /** Memory that further jobs may take, reserved rooms aside, in bytes; undefined without a limit. */
    get freeJobBytes(): number | undefined {
        return this.openJobs.freeBytes;
    }

    /** Notes the size of a job that was read from the store; undefined for one that has ended. */
    noteSize(id: string, size: JobSize | undefined): void {
        this.openJobs.setSize(id, size);
    }

    /** Tells that no jobs take memory here any more. */
    close(): void {
        this.openJobs.close();
    }

    /**
     * Whether all jobs named in a worker's report are known. The earlier coordinator may have read and started a job
     * after this coordinator last read the store; unknown jobs cause another read.
     */
    hasAllJobs(report: LeaseReport): boolean | Promise<boolean> {
        const isUnread = [...report.ended, ...report.running].some(row => !this.jobs.isKnown(row.task.jobId));
        return isUnread ? this.refresh() : true;
    }

    /**
     * Decides whether there is room for a job that a VM is about to write to the store. A job that the store has already
     * isn't refused.
     *
     * @param bytes Memory that the job would take, in bytes.
     * @param origin Where the job comes from.
     * @returns Whether there is room; `"unknown"` if there is none and the store doesn't tell soon whether it has the job.
     */
    async admitJob(id: string, bytes: number, origin: JobOrigin = {}): Promise<boolean | "unknown"> {
        if (this.jobs.isKnown(id) || this.openJobs.tryReserving(id, bytes, origin)) {
            return true;
        }
        const isRead = await Promise.race([this.refresh(), waitFor(this.parts.clock, MAX_READ_MS).then(() => false)]);
        return this.jobs.isKnown(id) || (isRead ? false : "unknown");
    }
}
