export { BusyWorkerPort } from "./busyWorkerPort.js";
export { createStep } from "./createStep.js";
export { EmulatedFleet } from "./emulatedFleet.js";
export { EmulatedWorker } from "./emulatedWorker.js";
export { MemoryStore } from "./memoryStore.js";
export { RunWitness } from "./runWitness.js";
export { stopLoop } from "./stopLoop.js";
export { VirtualClock } from "./virtualClock.js";
