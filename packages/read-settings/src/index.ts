export { adminSettingsSchema } from "./adminSettingsSchema.js";
export { commonSections } from "./commonSections.js";
export { describeSettings } from "./describeSettings.js";
export { entrySettingsSchema } from "./entrySettingsSchema.js";
export { parseSettings } from "./parseSettings.js";
export { schedulerSettingsSchema } from "./schedulerSettingsSchema.js";
export type { SettingFault } from "./settingFault.js";
export { settingFields } from "./settingFields.js";
