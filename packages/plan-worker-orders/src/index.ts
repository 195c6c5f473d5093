export { OrderKind } from "./orderKind.js";
export { planWorkerOrders } from "./planWorkerOrders.js";
export type { WorkerOrder } from "./workerOrder.js";
export type { WorkerPlan } from "./workerPlan.js";
export type { WorkerView } from "./workerView.js";
