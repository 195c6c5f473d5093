import type { TaskPhase } from "./taskPhase.js";

/** A task in a progress record: index, phase, newest run, failed runs, worker, checkpoint. */
export type TaskRow = [number, TaskPhase, number, number[]?, string?, string?];
