import { WorkerState } from "@sardinestage/describe-work";
import { WorkerLink } from "../workerLink.js";

/** A worker that is listed and hasn't answered yet. */
export function createLink(id: string): WorkerLink {
    return new WorkerLink({
        id,
        bornMs: 1,
        service: "service",
        address: id,
        domain: "here",
        state: WorkerState.Ready,
        capacity: { cpuMillis: 1000, memoryMb: 1000, accelerators: 0 },
        labels: [],
        rack: "",
        remainingMs: 0,
    }, 0);
}
