export { TaskStream } from "./taskStream.js";
