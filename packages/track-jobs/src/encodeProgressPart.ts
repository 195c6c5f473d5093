import { encodeTaskRows } from "./encodeTaskRows.js";
import type { PartKey } from "./partKey.js";
import type { StepRun } from "./stepRun.js";

/**
 * Encodes a part of a partitioned job's progress: `[bounds of the ranges of done tasks, tasks that have run, failed
 * runs of the gang]`.
 *
 * @param maxBytes The largest record that the store takes, in bytes.
 */
export function encodeProgressPart(step: StepRun, key: PartKey, maxBytes = Infinity): Uint8Array {
    const { firstIndex, endIndex } = key;
    const tasks = step.listKnownBetween(firstIndex, endIndex);
    const failedRuns = key.part === 0 ? [...step.gangFailedRuns] : [];
    return encodeTaskRows(
        convertTasks => [step.listForgotten(firstIndex, endIndex), convertTasks(tasks), failedRuns],
        maxBytes,
    );
}
