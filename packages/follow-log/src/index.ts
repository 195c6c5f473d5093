export { LogAppender } from "./logAppender.js";
export { LogFollower } from "./logFollower.js";
