import type { ActiveRun, LeaseReport } from "@sardinestage/describe-ports";
import { OrderOutcome } from "@sardinestage/describe-ports";
import type { TaskRef } from "@sardinestage/describe-work";
import type { AnswerRow } from "./answerRow.js";
import type { RunRow } from "./runRow.js";

/** The values of a run that a report may leave out. */
interface KnownRun {
    readonly task: TaskRef;
    readonly run: number;
    readonly checkpoint: string;
}

/** Decodes the workers' reports of one session, in the order in which `ReportEncoder` encoded them. */
export class ReportDecoder {
    private readonly workers = new Map<string, ReadonlyMap<number, KnownRun>>();

    /**
     * Decodes a worker's report.
     *
     * @throws {TypeError} If a run wasn't reported before and lacks values, or if the answer to an accepted renewal lacks
     *   a part of the report; the session is unusable then. A report that lacks its lists doesn't say that nothing runs.
     */
    decodeReport(workerId: string, row: AnswerRow): LeaseReport {
        if (row[1] === OrderOutcome.Accepted && !isComplete(row)) {
            throw new TypeError(`A relayed report of the worker ${workerId} lacks its clock, its life or its lists.`);
        }
        const [, outcome, clockMs = 0, bornMs = 0, runningRows = [], endedRows = []] = row;
        const earlier = this.workers.get(workerId);
        const known = new Map<number, KnownRun>();
        const running = runningRows.map(runRow => decodeRun(runRow, known, earlier));
        this.workers.set(workerId, known);
        const ended = endedRows.map(([number, end, checkpoint, run, jobId, occurrence, step, index]) => ({
            number,
            end,
            checkpoint,
            run,
            task: { jobId, occurrence, step, index },
        }));
        return { outcome, clockMs, bornMs, running, ended };
    }
}

function isComplete([, , clockMs, bornMs, running, ended]: readonly unknown[]): boolean {
    return typeof clockMs === "number" && typeof bornMs === "number" && Array.isArray(running) && Array.isArray(ended);
}

function decodeRun(
    row: RunRow,
    known: Map<number, KnownRun>,
    earlier: ReadonlyMap<number, KnownRun> | undefined,
): ActiveRun {
    const [slot, percent, measurement] = row;
    const reported = updateRun(row, earlier?.get(slot));
    if (reported === undefined) {
        throw new TypeError(`A relayed report refers to slot ${String(slot)}, which no earlier report names.`);
    }
    known.set(slot, reported);
    return { task: reported.task, run: reported.run, checkpoint: reported.checkpoint, percent, measurement };
}

function updateRun(row: RunRow, reported: KnownRun | undefined): KnownRun | undefined {
    if (row.length === 3) {
        return reported;
    }
    if (row.length === 4) {
        return reported && { ...reported, checkpoint: row[3] };
    }
    const [, , , checkpoint, run, jobId, occurrence, step, index] = row;
    return { task: { jobId, occurrence, step, index }, run, checkpoint };
}
