import type { StepSpec } from "@sardinestage/describe-work";

/** Creates a step of one small task with defaults; a test overrides the fields that it needs. */
export function createStep(changes: Partial<StepSpec> = {}): StepSpec {
    return {
        taskCount: 1,
        cpuMillis: 1000,
        memoryMb: 1000,
        accelerators: 0,
        estimateMs: 1000,
        dependsOn: [],
        savesProgress: false,
        gang: false,
        sameRack: false,
        requiredLabel: "",
        preferredRack: "",
        maxTasksPerWorker: 0,
        speculative: false,
        longRunning: false,
        image: "image",
        tailLatencyTargetMs: 0,
        isBestEffort: false,
        maxUnavailable: 0,
        ...changes,
    };
}
