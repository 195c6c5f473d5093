import { computePercentile } from "../computePercentile.js";
import type { Installation } from "../installation.js";
import type { TrafficTotals } from "../trafficTotals.js";

/** Data from which the summary is computed. */
interface DemoResult {
    readonly installation: Installation;
    readonly traffic: readonly TrafficTotals[];
    readonly submitted: readonly string[];
}

/**
 * Prints the summary at the end of the demonstration.
 *
 * @returns Whether no task was lost or completed twice, no request was answered wrongly, and no guarantee was violated.
 */
export function printDemoReport({ installation, traffic, submitted }: DemoResult): boolean {
    const { recorder } = installation;
    const sum = (read: (totals: TrafficTotals) => number) => traffic.reduce((total, each) => total + read(each), 0);
    const latencies = traffic.flatMap(each => each.latenciesMs);
    const lost = submitted.filter(taskId => !recorder.completions.has(taskId));
    const completedTwice = submitted.filter(taskId => (recorder.completions.get(taskId) ?? 0) > 1);
    const wrong = sum(each => each.wrong);
    const rows: [string, string | number][] = [
        ["requests sent", sum(each => each.sent)],
        ["  answered", sum(each => each.answered)],
        ["  refused (did not run)", sum(each => each.refused)],
        ["  unknown (may have run)", sum(each => each.unknown)],
        ["  connection broken by the kill", sum(each => each.broken)],
        ["  answered wrongly", wrong],
        [
            "latency p50 / p99 ms",
            `${computePercentile(latencies, 50).toFixed(1)} / ${computePercentile(latencies, 99).toFixed(1)}`,
        ],
        ["tasks submitted", submitted.length],
        ["  finished", submitted.length - lost.length],
        ["  run twice", completedTwice.length],
        ["  lost", lost.length],
        ["attempts started / evicted", `${recorder.starts} / ${recorder.stops}`],
        ["guarantees violated", recorder.violations.length],
    ];
    for (const [name, value] of rows) {
        process.stdout.write(`${name.padEnd(32)} ${value}\n`);
    }
    for (const [reason, count] of traffic.flatMap(each => [...each.reasons])) {
        process.stdout.write(`${`  not answered: ${reason}`.padEnd(32)} ${count}\n`);
    }
    recorder.violations.slice(0, 10).forEach(violation => process.stdout.write(`VIOLATION: ${violation}\n`));
    return lost.length === 0 && completedTwice.length === 0 && wrong === 0 && recorder.violations.length === 0;
}
