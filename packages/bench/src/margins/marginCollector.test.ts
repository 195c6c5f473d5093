import { describe, expect, it } from "@jest/globals";
import { LineFault } from "./lineFault.js";
import { MarginCollector } from "./marginCollector.js";
import type { Span } from "./span.js";

function buildLine(second: number, event: string, fields: object): string {
    return `${second.toFixed(3).padStart(9)} vm-1 ${JSON.stringify({ time: "", event, ...fields })}`;
}

function buildIdleLine(second: number, idleMs: number, fields: object = {}): string {
    const idle = { reason: "Processor", tasks: 3, oldest: "job/0/0/1", run: 1, worker: "", idleMs, reasonMs: 100 };
    return buildLine(second, "long-running-idle", { ...idle, ...fields });
}

function collectMargins(lines: readonly (string | undefined)[], calmSpans: readonly Span[] = []) {
    const collector = new MarginCollector(calmSpans);
    lines.forEach(line => collector.takeLine(line));
    return collector.margins;
}

describe("MarginCollector", () => {
    describe("of idle tasks", () => {
        it("keeps the greatest age with its second, its task and the free processor of the last summary before it", () => {
            const { idle } = collectMargins([
                buildLine(10, "fleet-summary", { freeCpuMillis: 500 }),
                buildIdleLine(11, 4000),
                buildLine(12, "fleet-summary", { freeCpuMillis: 700 }),
                buildIdleLine(12.5, 6000, { tasks: 9, oldest: "job/0/0/2", reasonMs: 50 }),
                buildLine(14, "fleet-summary", { freeCpuMillis: 900 }),
                buildIdleLine(14.5, 5000, { reasonMs: 5000 }),
            ]);
            expect(idle).toHaveLength(1);
            expect(idle[0]).toMatchObject({
                reason: "Processor",
                lines: 3,
                mostTasks: 9,
                mostIdleMs: 6000,
                oldestTask: "job/0/0/2",
                oldestSecond: 12.5,
                freeCpuMillis: 700,
                mostReasonMs: 5000,
                firstSecond: 11,
                lastSecond: 14.5,
            });
        });

        it("counts the lines past 3, 5 and 7 s, a limit itself not being past it", () => {
            const ages = [3000, 3001, 5000, 5001, 7000, 7001];
            const { idle } = collectMargins(ages.map(idleMs => buildIdleLine(10, idleMs)));
            expect(idle[0]?.linesPast).toEqual([5, 3, 1]);
        });

        it("counts the lines whose oldest task has never run", () => {
            const { idle } = collectMargins([buildIdleLine(10, 4000, { run: 0 }), buildIdleLine(11, 4000, { run: 2 })]);
            expect(idle[0]?.firstStartLines).toBe(1);
        });

        it("tells reasons apart", () => {
            const { idle } = collectMargins([buildIdleLine(1, 4000), buildIdleLine(1, 4000, { reason: "Memory" })]);
            expect(idle.map(({ reason }) => reason)).toEqual(["Processor", "Memory"]);
        });

        it("takes a fleet that has promised more than it has as free processor below 0", () => {
            const margins = collectMargins([
                buildLine(10, "fleet-summary", { freeCpuMillis: -262_850 }),
                buildIdleLine(11, 4000),
            ]);
            expect(margins.idle[0]?.freeCpuMillis).toBe(-262_850);
            expect(margins.faults.size).toBe(0);
        });

        it("doesn't know the free processor before the first summary", () => {
            expect(collectMargins([buildIdleLine(1, 4000)]).idle[0]?.freeCpuMillis).toBeUndefined();
        });

        it("keeps a bounded number of reasons, and counts the lines of further ones as faults", () => {
            const reasons = Array.from({ length: 150 }, (_, index) => `reason-${index}`);
            const margins = collectMargins(reasons.map(reason => buildIdleLine(1, 4000, { reason })));
            expect(margins.idle).toHaveLength(100);
            expect(margins.faults.get(LineFault.FieldMissing)).toBe(50);
        });
    });

    describe("of requests", () => {
        it("counts them by event and second and keeps the longest", () => {
            const { answers } = collectMargins([
                buildLine(41.2, "job-state-unavailable", { tookMs: 2000 }),
                buildLine(41.9, "job-state-unavailable", { tookMs: 2900 }),
                buildLine(43, "job-state-unavailable", { tookMs: 100 }),
                buildLine(43, "answer-late", { tookMs: 2800 }),
                buildLine(44, "request-abandoned", { tookMs: 3100 }),
            ]);
            expect(answers.map(({ event, lines }) => [event, lines])).toEqual([
                ["job-state-unavailable", 3],
                ["answer-late", 1],
                ["request-abandoned", 1],
            ]);
            expect(answers[0]).toMatchObject({ mostTookMs: 2900, mostTookSecond: 41.9 });
            expect([...answers[0]?.linesBySecond ?? []]).toEqual([[41, 2], [43, 1]]);
        });
    });

    describe("with spans of calm", () => {
        it("tells lines inside any of them from lines outside; the end of a span is outside", () => {
            const spans = [{ fromSecond: 10, toSecond: 20 }, { fromSecond: 30, toSecond: 40 }];
            const seconds = [9.9, 10, 19.9, 20, 30, 40];
            const { idle, answers } = collectMargins(
                seconds.flatMap(second => [
                    buildIdleLine(second, 4000),
                    buildLine(second, "answer-late", { tookMs: 1 }),
                ]),
                spans,
            );
            expect(idle.map(({ isCalm, lines }) => [isCalm, lines])).toEqual([[false, 3], [true, 3]]);
            expect(answers.map(({ isCalm, lines }) => [isCalm, lines])).toEqual([[false, 3], [true, 3]]);
        });
    });

    describe("of lines that can't be counted", () => {
        it("counts them by their fault and goes on", () => {
            const { faults, idle, lines } = collectMargins([
                "worth 0.5",
                "  1.000 vm-1 {\"time\":\"\",\"event\":\"long-running-idle\",\"reas",
                undefined,
                buildIdleLine(1, 4000, { tasks: "many" }),
                buildLine(1, "answer-late", {}),
                buildIdleLine(1, 4000),
            ]);
            expect([...faults]).toEqual([
                [LineFault.Foreign, 1],
                [LineFault.Unreadable, 1],
                [LineFault.TooLong, 1],
                [LineFault.FieldMissing, 2],
            ]);
            expect(idle[0]?.lines).toBe(1);
            expect(lines).toBe(3);
        });

        it("adds up the lines that processes dropped", () => {
            const dropped = [3, 4].map(count => buildLine(1, "log-lines-dropped", { dropped: count }));
            expect(collectMargins(dropped).droppedLines).toBe(7);
        });
    });
});
