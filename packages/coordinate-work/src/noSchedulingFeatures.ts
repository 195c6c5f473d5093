import type { SchedulingFeatures } from "./schedulingFeatures.js";

/** All optional parts of scheduling are off. */
export const noSchedulingFeatures: SchedulingFeatures = {
    reservesCapacity: false,
    sharesCapacity: false,
    copiesSlowTasks: false,
    protectsLastAttempts: false,
    prefersFastWorkers: false,
};
