export { testBed } from "./testBed.js";
