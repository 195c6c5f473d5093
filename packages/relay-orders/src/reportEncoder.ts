import type { ActiveRun, LeaseReport } from "@sardinestage/describe-ports";
import { formatTaskKey } from "@sardinestage/describe-work";
import type { AnswerRow } from "./answerRow.js";
import type { EndRow } from "./endRow.js";
import type { RunRow } from "./runRow.js";

/** A run that was reported in the session. */
interface ReportedRun {
    readonly slot: number;
    checkpoint: string;
}

/** The runs of one worker in its last encoded report. */
interface WorkerRuns {
    nextSlot: number;
    runs: Map<string, ReportedRun>;
}

/**
 * Encodes the workers' reports of one session. A worker lists all its active runs in each report; a run that the
 * session has reported before is encoded as its slot and what changes. `ReportDecoder` has to decode the reports in
 * the same order.
 */
export class ReportEncoder {
    private readonly workers = new Map<string, WorkerRuns>();

    /** Encodes a worker's report as the answer to the call with this id. */
    encodeReport(id: number, workerId: string, report: LeaseReport): AnswerRow {
        const known = this.workers.get(workerId) ?? { nextSlot: 0, runs: new Map<string, ReportedRun>() };
        this.workers.set(workerId, known);
        const earlier = known.runs;
        known.runs = new Map();
        const running = report.running.map(run => encodeRun(run, known, earlier));
        const ended = report.ended.map(({ number, end, checkpoint, run, task }): EndRow => [
            number,
            end,
            checkpoint,
            run,
            task.jobId,
            task.occurrence,
            task.step,
            task.index,
        ]);
        return [id, report.outcome, report.clockMs, report.bornMs, running, ended];
    }
}

function encodeRun(active: ActiveRun, known: WorkerRuns, earlier: ReadonlyMap<string, ReportedRun>): RunRow {
    const { task, run, checkpoint, percent, measurement } = active;
    const key = `${formatTaskKey(task)}#${run}`;
    const reported = earlier.get(key);
    if (reported === undefined) {
        const slot = known.nextSlot++;
        known.runs.set(key, { slot, checkpoint });
        const { jobId, occurrence, step, index } = task;
        return [slot, percent, measurement, checkpoint, run, jobId, occurrence, step, index];
    }
    known.runs.set(key, reported);
    if (reported.checkpoint === checkpoint) {
        return [reported.slot, percent, measurement];
    }
    reported.checkpoint = checkpoint;
    return [reported.slot, percent, measurement, checkpoint];
}
