import type { schedulerSettingsSchema } from "@sardinestage/read-settings";
import type { z } from "zod";

/** Settings of a scheduler, with defaults filled in. */
export type SchedulerSettings = z.infer<typeof schedulerSettingsSchema>;
