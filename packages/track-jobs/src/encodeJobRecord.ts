import type { StepSpec } from "@sardinestage/describe-work";
import type { JobRecord } from "./jobRecord.js";
import { recordEncoder } from "./recordEncoder.js";

/** Encodes an accepted job. Steps are arrays without field names, to keep the record small. */
export function encodeJobRecord(record: JobRecord): Uint8Array {
    const { spec, queue } = record;
    return recordEncoder.encode([
        record.acceptedAtMs,
        queue,
        spec.payload,
        spec.steps.map(convertStep),
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
