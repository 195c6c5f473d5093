import { adminSettingsSchema } from "@sardinestage/read-settings";
import { runProcess } from "@sardinestage/run-process";
import { createAdmin } from "./createAdmin.js";

await runProcess({
    name: "stage-admin",
    description: "Serves the operators' API.",
    version: "0.1.0",
    schema: adminSettingsSchema,
    start: async settings => {
        const admin = createAdmin(settings);
        await admin.start();
        return admin;
    },
});
