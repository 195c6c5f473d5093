import type { schedulerSettingsSchema } from "@sardinestage/read-settings";
import type { z } from "zod";

/** Validated settings of a scheduler, with defaults filled in. */
export type SchedulerSettings = z.infer<typeof schedulerSettingsSchema>;
