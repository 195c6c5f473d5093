export { listOwnersByRank } from "./listOwnersByRank.js";
