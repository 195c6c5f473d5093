import type { AnswerMargin } from "./answerMargin.js";
import { IDLE_LIMITS_MS } from "./idleLimitsMs.js";
import type { IdleMargin } from "./idleMargin.js";
import type { Margins } from "./margins.js";

const MS_PER_SECOND = 1000;
const IDLE_HEADINGS = [
    "reason",
    "lines",
    "never run",
    "most tasks",
    "idleMs",
    "reasonMs",
    ...IDLE_LIMITS_MS.map(limitMs => `past ${limitMs / MS_PER_SECOND} s`),
    "from s",
    "to s",
    "oldest at s",
    "free then",
    "oldest",
];
const ANSWER_HEADINGS = ["event", "lines", "tookMs", "at s", "seconds (lines)"];

/**
 * Formats margins as Markdown tables.
 *
 * @param margins The margins of one day.
 * @param hasCalm Whether spans of calm were given, so that a column tells them apart.
 * @returns Lines without line feeds.
 */
export function formatMargins(margins: Margins, hasCalm: boolean): readonly string[] {
    const idle = margins.idle.toSorted((left, right) => right.mostIdleMs - left.mostIdleMs);
    const faults = [...margins.faults].map(([fault, count]) => `, ${count} ${fault}`).join("");
    return [
        ...formatTable(IDLE_HEADINGS, idle.map(listIdleCells), hasCalm ? idle : undefined),
        "",
        ...formatTable(ANSWER_HEADINGS, margins.answers.map(listAnswerCells), hasCalm ? margins.answers : undefined),
        "",
        `Events: ${margins.lines}; dropped by the processes: ${margins.droppedLines}; not counted: ${
            faults === "" ? "0" : faults.slice(2)
        }.`,
    ];
}

function listIdleCells(margin: IdleMargin): readonly (string | number)[] {
    return [
        margin.reason,
        margin.lines,
        margin.firstStartLines,
        margin.mostTasks,
        margin.mostIdleMs,
        margin.mostReasonMs,
        ...margin.linesPast,
        formatSecond(margin.firstSecond),
        formatSecond(margin.lastSecond),
        formatSecond(margin.oldestSecond),
        margin.freeCpuMillis ?? "unknown",
        margin.oldestTask,
    ];
}

function listAnswerCells(margin: AnswerMargin): readonly (string | number)[] {
    const seconds = [...margin.linesBySecond]
        .toSorted(([left], [right]) => left - right)
        .map(([second, lines]) => `${second} (${lines})`)
        .join(", ");
    return [margin.event, margin.lines, margin.mostTookMs, formatSecond(margin.mostTookSecond), seconds];
}

function formatTable(
    headings: readonly string[],
    rows: readonly (readonly (string | number)[])[],
    sides: readonly { readonly isCalm: boolean }[] | undefined,
): readonly string[] {
    const allHeadings = sides === undefined ? headings : ["calm", ...headings];
    const allRows = rows.map((cells, index) =>
        sides === undefined ? cells : [sides[index]?.isCalm === true ? "yes" : "no", ...cells]
    );
    return [allHeadings, allHeadings.map(() => "---"), ...allRows].map(cells => `| ${cells.join(" | ")} |`);
}

function formatSecond(second: number): string {
    return second.toFixed(1);
}
