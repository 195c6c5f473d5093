import type { RunEnd } from "@sardinestage/describe-work";

/** An ended run in an encoded report. */
export type EndRow = [
    number: number,
    end: RunEnd,
    checkpoint: string,
    run: number,
    jobId: string,
    occurrence: number,
    step: number,
    index: number,
];
