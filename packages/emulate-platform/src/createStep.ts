import type { StepSpec } from "@sardinestage/describe-work";

/** A step of one small task; the test changes what it is about. */
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
