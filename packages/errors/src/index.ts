export { describeFailure } from "./describeFailure.js";
export { ErrorKind } from "./errorKind.js";
export { RunEffect } from "./runEffect.js";
export { StageError } from "./stageError.js";
