import type { Figure } from "./figure.js";

/** A benchmark that can be run by its name. */
export interface Scenario {
    readonly name: string;
    readonly description: string;
    /** Runs the scenario; `printProgress` prints the step that is being measured. */
    readonly run: (seed: number, printProgress: (message: string) => void) => Promise<Figure[]>;
}
