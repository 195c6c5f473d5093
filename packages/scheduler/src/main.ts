import { schedulerSettingsSchema } from "@sardinestage/read-settings";
import { runProcess } from "@sardinestage/run-process";
import { createScheduler } from "./createScheduler.js";

await runProcess({
    name: "stage-scheduler",
    description: "Holds workers, places tasks on them and grants their connections to entries.",
    version: "0.1.0",
    schema: schedulerSettingsSchema,
    start: async settings => {
        const scheduler = createScheduler(settings);
        await scheduler.start();
        return scheduler;
    },
});
