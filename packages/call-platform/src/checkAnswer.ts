import { ErrorKind, RunEffect, StageError } from "@sardinestage/errors";
import type { Result } from "ts-results";
import tsResults from "ts-results";
import type { z } from "zod";

const { Err, Ok } = tsResults;

/**
 * Validates an answer from another process against its schema.
 *
 * @param schema Schema of a valid answer.
 * @param value The decoded answer.
 * @param kind Kind of the error returned for an invalid answer.
 * @returns The typed answer, or an error that lists the invalid fields.
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
            `An answer doesn't match the expected schema (${detail}).`,
            "Check that the other process runs a version that is compatible with this build.",
            RunEffect.MayHaveRun,
        ),
    );
}
