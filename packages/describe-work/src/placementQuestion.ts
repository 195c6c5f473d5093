import type { JobSpec } from "./jobSpec.js";
import type { QueueConfig } from "./queueConfig.js";

/** Asks where the tasks of a job would start now: by the id of an accepted job, or for a job that isn't submitted. */
export type PlacementQuestion = { readonly id: string } | { readonly spec: JobSpec; readonly queue: QueueConfig };
