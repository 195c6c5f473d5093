import { ErrorKind, StageError } from "@sardinestage/errors";
import type { Result } from "ts-results";
import tsResults from "ts-results";
import type { Span } from "./span.js";

const { Err, Ok } = tsResults;
const SPAN = /^(\d+(?:\.\d+)?)-(\d+(?:\.\d+)?)$/;

/**
 * Parses a span.
 *
 * @param text Two seconds joined by a hyphen, such as `0-19.5`.
 * @returns The span; `InvalidArgument` if the text isn't one, or the span is empty.
 */
export function parseSpan(text: string): Result<Span, StageError> {
    const match = SPAN.exec(text);
    const span = { fromSecond: Number(match?.[1]), toSecond: Number(match?.[2]) };
    if (!(span.fromSecond < span.toSecond)) {
        const problem = `"${text}" isn't a span of seconds.`;
        return Err(new StageError(ErrorKind.InvalidArgument, problem, "Give it as FROM-TO, for example 0-20."));
    }
    return Ok(span);
}
