import { parseJobSpec } from "@sardinestage/accept-jobs";
import type { JobSpec } from "@sardinestage/describe-work";
import { describeFailure, ErrorKind, StageError } from "@sardinestage/errors";
import { readFileSync } from "node:fs";
import type { Result } from "ts-results";
import tsResults from "ts-results";

const { Err } = tsResults;

/** Reads a job, in the names of `JobSpec`, from a JSON file. */
export function readJobFile(path: string): Result<JobSpec, StageError> {
    let value: unknown;
    try {
        value = JSON.parse(readFileSync(path, "utf8"));
    }
    catch (failure) {
        return Err(
            new StageError(
                ErrorKind.FileUnreadable,
                `The job file ${path} can't be read: ${describeFailure(failure)}.`,
                "Check that the path names a readable file with one JSON object.",
            ),
        );
    }
    return parseJobSpec(value).mapErr(problem =>
        new StageError(
            ErrorKind.InvalidArgument,
            `The job file ${path} describes no valid job: ${problem}`,
            "Correct the field; docs/OPERATIONS.md lists the names.",
        )
    );
}
