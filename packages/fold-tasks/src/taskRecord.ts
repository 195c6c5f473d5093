import type { z } from "zod";
import type { taskRecordSchema } from "./taskRecordSchema.js";

/** One record of a task stream. */
export type TaskRecord = z.infer<typeof taskRecordSchema>;
