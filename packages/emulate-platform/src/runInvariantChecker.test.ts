import { describe, expect, it } from "@jest/globals";
import { RunInvariantChecker } from "./runInvariantChecker.js";

const LIMIT = 2;

function createChecker(limit: number): RunInvariantChecker {
    return new RunInvariantChecker(() => 0, () => [], () => false, () => limit);
}

function createRef(index: number, step = 0) {
    return { jobId: "job", occurrence: 0, step, index };
}

function startTasks(checker: RunInvariantChecker, count: number, worker = "w"): void {
    for (let index = 0; index < count; index++) {
        checker.noteStart(createRef(index), worker, false);
    }
}

describe("RunInvariantChecker", () => {
    describe("with a limit of a step's tasks on one worker", () => {
        // Guards against fuzz tests that can't see that the limit is exceeded.
        it("reports a start above the limit", () => {
            const checker = createChecker(LIMIT);
            startTasks(checker, LIMIT + 1);
            expect(checker.violations).toEqual([
                "0 ms: job/0/0/2 starts on w, which then has 3 of 2 tasks of the step",
            ]);
        });

        it("reports a task's second run beside its first one on a worker that may have one", () => {
            const checker = new RunInvariantChecker(() => 0, () => [], () => true, () => 1);
            checker.noteStart(createRef(0), "w", false);
            checker.noteStart(createRef(0), "w", false);
            expect(checker.violations).toHaveLength(1);
        });

        it("accepts as many tasks as allowed, on each worker and of each step and job", () => {
            const checker = createChecker(LIMIT);
            startTasks(checker, LIMIT);
            checker.noteStart(createRef(2), "other", false);
            checker.noteStart(createRef(0, 1), "w", false);
            checker.noteStart({ ...createRef(0), jobId: "other" }, "w", false);
            checker.noteStart({ ...createRef(0), occurrence: 1 }, "w", false);
            expect(checker.violations).toEqual([]);
        });

        it("accepts a further task once one has ended there, but not after an end elsewhere", () => {
            const checker = createChecker(LIMIT);
            startTasks(checker, LIMIT);
            checker.noteEnd(createRef(0), "w", true);
            checker.noteStart(createRef(2), "w", false);
            expect(checker.violations).toEqual([]);
            checker.noteStart(createRef(3), "other", false);
            checker.noteEnd(createRef(3), "other", false);
            checker.noteStart(createRef(4), "w", false);
            expect(checker.violations).toHaveLength(1);
        });
    });

    it("accepts any number of tasks of a step without a limit", () => {
        const checker = createChecker(0);
        startTasks(checker, LIMIT + 1);
        expect(checker.violations).toEqual([]);
    });
});
