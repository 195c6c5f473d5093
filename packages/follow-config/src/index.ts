export { ConfigFollower } from "./configFollower.js";
