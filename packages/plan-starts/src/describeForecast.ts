import type { CapacityForecast } from "@sardinestage/plan-capacity";
import type { HeldReservation } from "./heldReservation.js";
import type { WorkerCapacity } from "./workerCapacity.js";

/** Describes what a worker has free now and later beside some of its reservations. */
export function describeForecast(worker: WorkerCapacity, reservations: readonly HeldReservation[]): CapacityForecast {
    return {
        free: {
            cpuMillis: worker.freeCpuMillis,
            memoryMb: worker.freeMemoryMb,
            accelerators: worker.freeAccelerators,
        },
        ends: worker.ahead === undefined ? [] : [...worker.ahead.ends, ...worker.ahead.plannedEnds],
        reservations,
    };
}
