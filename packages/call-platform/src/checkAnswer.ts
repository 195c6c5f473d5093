import { ErrorKind, RunEffect, StageError } from "@sardinestage/errors";
import type { Result } from "ts-results";
import tsResults from "ts-results";
import type { z } from "zod";

const { Err, Ok } = tsResults;

/**
 * Checks what came from outside against its schema.
 *
 * @param schema What is expected.
 * @param value What came.
 * @param kind The kind of error reported.
 * @returns The typed value, or why it is not one.
 */
export function checkAnswer<T>(schema: z.ZodType<T>, value: unknown, kind: ErrorKind): Result<T, StageError> {
    const parsed = schema.safeParse(value);
    if (parsed.success) {
        return Ok(parsed.data);
    }
    const detail = parsed.error.issues.map(issue => `${issue.path.join(".")}: ${issue.message}`).join("; ");
    return Err(
        new StageError(
            kind,
            `An answer doesn't have the expected form (${detail}).`,
            "Check that the other end speaks the version that this build expects.",
            RunEffect.MayHaveRun,
        ),
    );
}
