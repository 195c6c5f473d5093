import { describe, expect, it } from "@jest/globals";
import type { ActiveRun, LeaseReport } from "@sardinestage/describe-ports";
import { OrderOutcome } from "@sardinestage/describe-ports";
import { RunEnd } from "@sardinestage/describe-work";
import { Encoder } from "cbor-x";
import fc from "fast-check";
import type { AnswerRow } from "./answerRow.js";
import { ReportDecoder } from "./reportDecoder.js";
import { ReportEncoder } from "./reportEncoder.js";

const SEED = 20261205;
const wire = new Encoder({ useRecords: false, mapsAsObjects: true });

const arbitraryTask = fc.record({
    jobId: fc.constantFrom("a", "b"),
    occurrence: fc.nat({ max: 1 }),
    step: fc.nat({ max: 1 }),
    index: fc.nat({ max: 3 }),
});
const arbitraryRun: fc.Arbitrary<ActiveRun> = fc.record({
    task: arbitraryTask,
    run: fc.integer({ min: 1, max: 3 }),
    checkpoint: fc.constantFrom("", "c1", "c2"),
    percent: fc.nat({ max: 100 }),
    measurement: fc.nat({ max: 20_000 }),
});
const arbitraryReport: fc.Arbitrary<LeaseReport> = fc.record({
    outcome: fc.constantFrom(OrderOutcome.Accepted, OrderOutcome.StaleFence, OrderOutcome.Unknown),
    clockMs: fc.nat(),
    bornMs: fc.nat({ max: 2_000_000_000_000 }),
    running: fc.uniqueArray(arbitraryRun, {
        maxLength: 8,
        selector: ({ task, run }) => `${JSON.stringify(task)}#${run}`,
    }),
    ended: fc.array(
        fc.record({
            number: fc.nat(),
            task: arbitraryTask,
            run: fc.integer({ min: 1, max: 3 }),
            end: fc.constantFrom(RunEnd.Done, RunEnd.Failed, RunEnd.Lapsed),
            checkpoint: fc.constantFrom("", "c1"),
        }),
        { maxLength: 3 },
    ),
});

describe("ReportEncoder and ReportDecoder", () => {
    describe("with any sequence of reports of several workers", () => {
        it("give back each report as it was", () => {
            const arbitrarySequence = fc.array(fc.tuple(fc.constantFrom("w1", "w2"), arbitraryReport));
            fc.assert(
                fc.property(arbitrarySequence, sequence => {
                    const encoder = new ReportEncoder();
                    const decoder = new ReportDecoder();
                    sequence.forEach(([workerId, report], id) => {
                        const row = wire.decode(wire.encode(encoder.encodeReport(id, workerId, report))) as AnswerRow;
                        expect(row[0]).toBe(id);
                        expect(decoder.decodeReport(workerId, row)).toEqual(report);
                    });
                }),
                { seed: SEED, numRuns: 200 },
            );
        });
    });

    describe("when an earlier report was lost", () => {
        it("refuse a report that refers to it", () => {
            const encoder = new ReportEncoder();
            const task = { jobId: "job", occurrence: 0, step: 0, index: 0 };
            const running = [{ task, run: 1, checkpoint: "", percent: 0, measurement: 0 }];
            const report = { outcome: OrderOutcome.Accepted, clockMs: 1, bornMs: 1, running, ended: [] };
            encoder.encodeReport(1, "w1", report);
            const second = encoder.encodeReport(2, "w1", report);
            expect(() => new ReportDecoder().decodeReport("w1", second)).toThrow(TypeError);
        });
    });

    describe("when an accepted renewal's answer lacks a part of the report", () => {
        // Guards against answers that say nothing: a report without lists would show that the worker runs nothing.
        it.each([
            [[1, OrderOutcome.Accepted]],
            [[1, OrderOutcome.Accepted, 5, 6]],
            [[1, OrderOutcome.Accepted, 5, 6, []]],
            [[1, OrderOutcome.Accepted, 5, 6, {}, []]],
            [[1, OrderOutcome.Accepted, 5, 6, [], undefined]],
            [[1, OrderOutcome.Accepted, undefined, 6, [], []]],
            [[1, OrderOutcome.Accepted, 5, "6", [], []]],
        ])("refuse %j", row => {
            expect(() => new ReportDecoder().decodeReport("w1", row as unknown as AnswerRow)).toThrow(TypeError);
        });

        it("read the outcome of an answer that carries no report", () => {
            const row: AnswerRow = [1, OrderOutcome.Unknown];
            const report = { outcome: OrderOutcome.Unknown, clockMs: 0, bornMs: 0, running: [], ended: [] };
            expect(new ReportDecoder().decodeReport("w1", row)).toEqual(report);
        });
    });
});
