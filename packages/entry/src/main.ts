import { entrySettingsSchema } from "@sardinestage/read-settings";
import { runProcess } from "@sardinestage/run-process";
import { createEntry } from "./createEntry.js";

await runProcess({
    name: "stage-entry",
    description: "Routes callers' requests to targets, within the grants of the schedulers.",
    version: "0.1.0",
    schema: entrySettingsSchema,
    start: async settings => {
        const entry = createEntry(settings);
        await entry.start();
        return entry;
    },
});
