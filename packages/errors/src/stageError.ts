import type { ErrorKind } from "./errorKind.js";
import { RunEffect } from "./runEffect.js";

/** An expected failure with its problem, its remedy, and whether the failed call may have had an effect. */
export class StageError extends Error {
    /**
     * @param kind Kind of the failure.
     * @param problem The problem, as a sentence.
     * @param remedy What the reader of the message can do, as a sentence.
     * @param effect Whether the failed call may have had an effect.
     */
    constructor(
        readonly kind: ErrorKind,
        readonly problem: string,
        readonly remedy: string,
        readonly effect: RunEffect = RunEffect.NotRun,
    ) {
        super(`${problem} ${remedy}`);
        this.name = "StageError";
    }
}
