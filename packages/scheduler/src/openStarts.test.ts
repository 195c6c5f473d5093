import { describe, expect, it } from "@jest/globals";
import { ErrorKind } from "@sardinestage/errors";
import { OpenStarts } from "./openStarts.js";

const START = { taskId: "t", attempt: 1 };

function createOpenStarts(...failures: (ErrorKind | undefined)[]): OpenStarts {
    const starts = new OpenStarts();
    starts.resetForToken(7);
    failures.forEach(failure => starts.noteStart(START, failure));
    return starts;
}

describe("OpenStarts", () => {
    describe("when a start was answered", () => {
        it("knows none that is open, whether the worker carried it out or refused it", () => {
            const answers = [undefined, ErrorKind.WorkerRefused, ErrorKind.StaleToken];
            expect(answers.map(answer => createOpenStarts(answer).findAttempt("t"))).toEqual(
                answers.map(() => undefined),
            );
        });
    });

    describe("when a start got no answer", () => {
        it("keeps it until a report lists the attempt", () => {
            const starts = createOpenStarts(ErrorKind.WorkerUnreachable);
            starts.acceptReport([{ taskId: "t", attempt: 0 }, { taskId: "other", attempt: 1 }]);
            expect(starts.findAttempt("t")).toBe(1);
            starts.acceptReport([START]);
            expect(starts.findAttempt("t")).toBeUndefined();
        });

        it("forgets it under another token, and not under the same one", () => {
            const starts = createOpenStarts(ErrorKind.WorkerUnreachable);
            starts.resetForToken(7);
            expect(starts.getCount()).toBe(1);
            starts.resetForToken(8);
            expect(starts.getCount()).toBe(0);
        });
    });

    describe("when a start without an answer was repeated", () => {
        it("keeps it though the attempt is listed, since one call is enough for that", () => {
            for (const answer of [undefined, ErrorKind.WorkerUnreachable]) {
                const starts = createOpenStarts(ErrorKind.WorkerUnreachable, answer);
                starts.acceptReport([START]);
                expect(starts.findAttempt("t")).toBe(1);
            }
        });

        it("settles it when the repetition was refused", () => {
            const starts = createOpenStarts(ErrorKind.WorkerUnreachable, ErrorKind.WorkerRefused);
            starts.acceptReport([START]);
            expect(starts.findAttempt("t")).toBeUndefined();
        });
    });
});
