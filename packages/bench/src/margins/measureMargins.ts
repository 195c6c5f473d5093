import { describeFailure, ErrorKind, StageError } from "@sardinestage/errors";
import { createReadStream } from "node:fs";
import type { Result } from "ts-results";
import tsResults from "ts-results";
import { MarginCollector } from "./marginCollector.js";
import type { Margins } from "./margins.js";
import { readLines } from "./readLines.js";
import type { Span } from "./span.js";

const { Err, Ok } = tsResults;

/**
 * Measures the margins of a played day.
 *
 * @param path The file with the day's log.
 * @param calmSpans Spans of the day that are told apart from the rest of it.
 * @returns The margins; `InvalidArgument` if the file can't be read, or has no event in it.
 */
export async function measureMargins(path: string, calmSpans: readonly Span[]): Promise<Result<Margins, StageError>> {
    const collector = new MarginCollector(calmSpans);
    try {
        for await (const line of readLines(createReadStream(path, { encoding: "utf8" }))) {
            collector.takeLine(line);
        }
    }
    catch (failure) {
        const problem = `${path} can't be read: ${describeFailure(failure)}.`;
        return Err(new StageError(ErrorKind.InvalidArgument, problem, "Give a file that exists and may be read."));
    }
    const { margins } = collector;
    if (margins.lines === 0) {
        const remedy = "Give the output of a day that was played with the logs of all processes.";
        return Err(new StageError(ErrorKind.InvalidArgument, `${path} has no event in it.`, remedy));
    }
    return Ok(margins);
}
