import type { StepSpec } from "@sardinestage/describe-work";
import type { JobRecord } from "./jobRecord.js";
import { recordEncoder } from "./recordEncoder.js";

/** A job with more steps than this has short rows, so that its record isn't larger than what its caller sent. */
const MAX_FULL_ROWS = 1000;

/**
 * Encodes an accepted job. Steps are arrays without field names, to keep the record small. A job of very many steps has
 * them as `{ rows }`, without the empty values at the end of each row; versions that don't know this can't read it.
 */
export function encodeJobRecord(record: JobRecord): Uint8Array {
    const { spec, queue } = record;
    return recordEncoder.encode([
        record.acceptedAtMs,
        queue,
        spec.payload,
        spec.steps.length > MAX_FULL_ROWS
            ? { rows: spec.steps.map(step => dropEmptyEnd(convertStep(step))) }
            : spec.steps.map(convertStep),
        spec.repeatCount,
        spec.firstRunMs,
        spec.intervalMs,
    ]);
}

function convertStep(step: StepSpec): unknown[] {
    return [
        step.taskCount,
        step.cpuMillis,
        step.memoryMb,
        step.accelerators,
        step.estimateMs,
        step.dependsOn,
        step.savesProgress,
        step.gang,
        step.sameRack,
        step.requiredLabel,
        step.preferredRack,
        step.maxTasksPerWorker,
        step.speculative,
        step.longRunning,
        step.image,
        step.tailLatencyTargetMs,
        step.isBestEffort,
        step.maxUnavailable,
    ];
}

function dropEmptyEnd(row: unknown[]): unknown[] {
    const end = row.findLastIndex(value => Array.isArray(value) ? value.length > 0 : Boolean(value));
    return row.slice(0, end + 1);
}
