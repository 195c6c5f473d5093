import type { LinearState } from "./linearState.js";

/** What was learned of headroom, as plain data; all by the image of the serving tasks. */
export interface HeadroomState {
    readonly harms: Readonly<Record<string, LinearState>>;
    readonly usual: Readonly<Record<string, number>>;
    readonly lowest: Readonly<Record<string, number>>;
}
