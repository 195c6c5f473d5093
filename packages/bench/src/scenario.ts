import type { Figure } from "./figure.js";

/** One measurement that can be run by its name. */
export interface Scenario {
    readonly name: string;
    readonly what: string;
    /** Runs it; `printProgress` says what it is at. */
    readonly run: (seed: number, printProgress: (what: string) => void) => Promise<Figure[]>;
}
