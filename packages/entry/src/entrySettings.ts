import type { entrySettingsSchema } from "@sardinestage/read-settings";
import type { z } from "zod";

/** Settings of an entry, with defaults filled in. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
