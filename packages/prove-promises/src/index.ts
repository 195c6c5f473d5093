export { testHarness } from "./testHarness.js";
