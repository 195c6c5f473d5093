import type { adminSettingsSchema } from "@sardinestage/read-settings";
import type { z } from "zod";

/** Settings of an administration process, with defaults filled in. */
export type AdminSettings = z.infer<typeof adminSettingsSchema>;
