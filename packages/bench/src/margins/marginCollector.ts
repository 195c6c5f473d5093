import type { AnswerMargin } from "./answerMargin.js";
import { IDLE_LIMITS_MS } from "./idleLimitsMs.js";
import type { IdleMargin } from "./idleMargin.js";
import { LineFault } from "./lineFault.js";
import type { LogLine } from "./logLine.js";
import type { Margins } from "./margins.js";
import { parseLogLine } from "./parseLogLine.js";
import type { Span } from "./span.js";

const ANSWER_EVENTS: ReadonlySet<string> = new Set(["job-state-unavailable", "answer-late", "request-abandoned"]);
/** The most reasons that are told apart; a log has fewer, unless it is none of ours. */
const MAX_REASONS = 100;

/** Collects the margins of a day from its log, line by line; what it keeps doesn't grow with the log. */
export class MarginCollector {
    private readonly idle = new Map<string, IdleMargin>();
    private readonly answers = new Map<string, AnswerMargin>();
    private readonly faults = new Map<LineFault, number>();
    private lines = 0;
    private lastSecond: number | undefined;
    private droppedLines = 0;
    private freeCpuMillis: number | undefined;

    /** @param calmSpans Spans of the day that are told apart from the rest of it. */
    constructor(private readonly calmSpans: readonly Span[]) {}

    /** The margins so far. */
    get margins(): Margins {
        return {
            idle: [...this.idle.values()],
            answers: [...this.answers.values()],
            lines: this.lines,
            faults: this.faults,
            droppedLines: this.droppedLines,
        };
    }

    /** Takes the next line of the log; undefined for one that was too long to be read. */
    takeLine(text: string | undefined): void {
        if (text === undefined) {
            this.countFault(LineFault.TooLong);
            return;
        }
        const parsed = parseLogLine(text, this.lastSecond);
        if (parsed.err) {
            this.countFault(parsed.val);
            return;
        }
        this.lines++;
        this.lastSecond = parsed.val.second;
        if (!this.noteLine(parsed.val)) {
            this.countFault(LineFault.FieldMissing);
        }
    }

    private countFault(fault: LineFault): void {
        this.faults.set(fault, (this.faults.get(fault) ?? 0) + 1);
    }

    /** Notes a line; false if it lacks a field. */
    private noteLine(line: LogLine): boolean {
        switch (line.event) {
            case "long-running-idle":
                return this.noteIdle(line);
            case "fleet-summary": {
                const { freeCpuMillis } = line.fields;
                this.freeCpuMillis = typeof freeCpuMillis === "number" ? freeCpuMillis : undefined;
                return this.freeCpuMillis !== undefined;
            }
            case "log-lines-dropped": {
                const { dropped } = line.fields;
                this.droppedLines += isAmount(dropped) ? dropped : 0;
                return isAmount(dropped);
            }
            default:
                return ANSWER_EVENTS.has(line.event) ? this.noteAnswer(line) : true;
        }
    }

    private noteIdle({ second, fields }: LogLine): boolean {
        const { reason, tasks, oldest, run, idleMs, reasonMs } = fields;
        if (
            typeof reason !== "string" || typeof oldest !== "string" || !isAmount(tasks) || !isAmount(run)
            || !isAmount(idleMs) || !isAmount(reasonMs)
        ) {
            return false;
        }
        const margin = this.findIdle(reason, second);
        if (margin === undefined) {
            return false;
        }
        margin.lines++;
        margin.firstStartLines += run === 0 ? 1 : 0;
        margin.mostTasks = Math.max(margin.mostTasks, tasks);
        margin.mostReasonMs = Math.max(margin.mostReasonMs, reasonMs);
        margin.firstSecond = Math.min(margin.firstSecond, second);
        margin.lastSecond = Math.max(margin.lastSecond, second);
        IDLE_LIMITS_MS.forEach((limitMs, index) => margin.linesPast[index] += idleMs > limitMs ? 1 : 0);
        if (idleMs > margin.mostIdleMs) {
            margin.mostIdleMs = idleMs;
            margin.oldestTask = oldest;
            margin.oldestSecond = second;
            margin.freeCpuMillis = this.freeCpuMillis;
        }
        return true;
    }

    private findIdle(reason: string, second: number): IdleMargin | undefined {
        const isCalm = this.isCalm(second);
        const key = `${reason} ${isCalm}`;
        const known = this.idle.get(key);
        if (known !== undefined || this.idle.size >= MAX_REASONS) {
            return known;
        }
        const margin: IdleMargin = {
            reason,
            isCalm,
            lines: 0,
            firstStartLines: 0,
            mostTasks: 0,
            mostIdleMs: -1,
            oldestTask: "",
            oldestSecond: second,
            freeCpuMillis: undefined,
            mostReasonMs: 0,
            linesPast: IDLE_LIMITS_MS.map(() => 0),
            firstSecond: second,
            lastSecond: second,
        };
        this.idle.set(key, margin);
        return margin;
    }

    private noteAnswer({ second, event, fields }: LogLine): boolean {
        const { tookMs } = fields;
        if (!isAmount(tookMs)) {
            return false;
        }
        const isCalm = this.isCalm(second);
        const key = `${event} ${isCalm}`;
        const margin = this.answers.get(key)
            ?? { event, isCalm, lines: 0, mostTookMs: -1, mostTookSecond: second, linesBySecond: new Map() };
        this.answers.set(key, margin);
        margin.lines++;
        const wholeSecond = Math.floor(second);
        margin.linesBySecond.set(wholeSecond, (margin.linesBySecond.get(wholeSecond) ?? 0) + 1);
        if (tookMs > margin.mostTookMs) {
            margin.mostTookMs = tookMs;
            margin.mostTookSecond = second;
        }
        return true;
    }

    private isCalm(second: number): boolean {
        return this.calmSpans.some(({ fromSecond, toSecond }) => second >= fromSecond && second < toSecond);
    }
}

function isAmount(value: unknown): value is number {
    return typeof value === "number" && value >= 0;
}
