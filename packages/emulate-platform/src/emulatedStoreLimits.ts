import type { StoreLimits } from "@sardinestage/describe-ports";

/** The sizes that the emulated store takes. */
export const emulatedStoreLimits: StoreLimits = { maxRecordBytes: 262_144, maxAppendBytes: 2_097_152 };
