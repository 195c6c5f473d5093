import type { ErrorKind } from "./errorKind.js";
import { RunEffect } from "./runEffect.js";

/** An expected failure: what happened, whether anything ran, and what to do about it. */
export class StageError extends Error {
    /**
     * @param kind The kind of the failure.
     * @param problem What happened, as a sentence.
     * @param remedy What the reader can do, as a sentence.
     * @param effect Whether anything ran.
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
