import type { TrackedWorker } from "./trackedWorker.js";

/** Whether two workers may run the same tasks: they have the same service and, but for the rack, the same labels. */
export function isInterchangeable({ entry: left }: TrackedWorker, { entry: right }: TrackedWorker): boolean {
    return left.service === right.service
        && left.labels.every(label => label === left.rack || right.labels.includes(label))
        && right.labels.every(label => label === right.rack || left.labels.includes(label));
}
