import type { QueueConfig, StepSpec } from "@sardinestage/describe-work";
import type { JobRecord } from "./jobRecord.js";
import { recordEncoder } from "./recordEncoder.js";

type StepRow = [
    number,
    number,
    number,
    number,
    number,
    number[],
    boolean,
    boolean,
    boolean,
    string,
    string,
    number,
    boolean,
    boolean,
    string,
    number,
    boolean,
    number,
];

/** The values that a short row may leave out. */
const EMPTY_ROW: StepRow = [0, 0, 0, 0, 0, [], false, false, false, "", "", 0, false, false, "", 0, false, 0];
/** Shared by all steps that depend on none, so that these take less memory. */
const NO_STEPS: readonly number[] = [];

/**
 * Decodes a record written by `encodeJobRecord`.
 *
 * @throws If the bytes aren't such a record.
 */
export function decodeJobRecord(bytes: Uint8Array): JobRecord {
    const [acceptedAtMs, queue, payload, steps, repeatCount, firstRunMs, intervalMs] = recordEncoder.decode(bytes) as [
        number,
        QueueConfig,
        string,
        StepRow[] | { rows: Partial<StepRow>[] },
        number,
        number,
        number,
    ];
    const rows = Array.isArray(steps) ? steps : steps.rows.map(buildFullRow);
    const spec = { payload, steps: rows.map(convertStep), repeatCount, firstRunMs, intervalMs };
    return { spec, queue, acceptedAtMs };
}

/** Adds the empty values that were left out at the end of a row. */
function buildFullRow(row: Partial<StepRow>): StepRow {
    return [...row, ...EMPTY_ROW.slice(row.length)] as StepRow;
}

function convertStep(row: StepRow): StepSpec {
    return {
        taskCount: row[0],
        cpuMillis: row[1],
        memoryMb: row[2],
        accelerators: row[3],
        estimateMs: row[4],
        dependsOn: row[5].length === 0 ? NO_STEPS : row[5],
        savesProgress: row[6],
        gang: row[7],
        sameRack: row[8],
        requiredLabel: row[9],
        preferredRack: row[10],
        maxTasksPerWorker: row[11],
        speculative: row[12],
        longRunning: row[13],
        image: row[14],
        tailLatencyTargetMs: row[15],
        isBestEffort: row[16],
        maxUnavailable: row[17],
    };
}
