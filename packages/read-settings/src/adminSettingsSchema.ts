import { z } from "zod";
import { commonSections } from "./commonSections.js";
import { settingFields } from "./settingFields.js";

const { createCount, createKey, createMilliseconds, createName, createPort } = settingFields;

/** Settings of `stage-admin`. */
export const adminSettingsSchema = z.strictObject({
    ...commonSections,
    admin: z.strictObject({
        port: createPort("Port of the operators' calls."),
        domains: z.array(createName("A failure domain.")).min(1)
            .meta({ unit: "list", description: "All failure domains of the installation." }),
        confirmMs: createMilliseconds(5_000, 100, 600_000, "How long a call waits until its record is read back."),
        logbookEntries: createCount(100_000, 100, 10_000_000, "Entries of the logbook kept for a failure domain."),
    }),
    operators: z.array(z.strictObject({
        key: createKey("Sent by the operator as a bearer token."),
        name: createName("Operator that the key stands for."),
    })).default([]).meta({ unit: "list", description: "Who may make operators' calls." }),
});
