export { planReplicas } from "./planReplicas.js";
