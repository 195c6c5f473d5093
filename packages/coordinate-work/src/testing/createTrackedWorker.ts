import type { Capacity } from "@sardinestage/describe-work";
import { WorkerState } from "@sardinestage/describe-work";
import { TrackedWorker } from "../workers/trackedWorker.js";

const SMALL_CAPACITY: Capacity = { cpuMillis: 1000, memoryMb: 1000, accelerators: 0 };

/**
 * Creates a tracked worker that is listed and hasn't answered yet.
 *
 * @param earlierLeasesExpireAtMs When all leases from earlier coordinators have expired, in steady milliseconds.
 * @param isDomainEvacuated Whether a failure domain is evacuated; the worker's is `here`.
 */
export function createTrackedWorker(
    id: string,
    capacity: Capacity = SMALL_CAPACITY,
    earlierLeasesExpireAtMs = 0,
    isDomainEvacuated: (domain: string) => boolean = () => false,
): TrackedWorker {
    return new TrackedWorker(
        {
            id,
            bornMs: 1,
            service: "service",
            address: id,
            domain: "here",
            state: WorkerState.Ready,
            capacity,
            labels: [],
            rack: "",
            remainingMs: 0,
            coldRemainingMs: 0,
        },
        () => earlierLeasesExpireAtMs,
        () => 1,
        isDomainEvacuated,
    );
}
