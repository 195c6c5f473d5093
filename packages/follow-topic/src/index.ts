export { TopicFollower } from "./topicFollower.js";
