export { ConfigHistory } from "./configHistory.js";
export { ConfigRecordKind } from "./configRecordKind.js";
export { configSchema } from "./configSchema.js";
export type { ConfigVersion } from "./configVersion.js";
export { PublishVerdict } from "./publishVerdict.js";
