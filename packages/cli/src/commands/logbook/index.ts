import type { Command } from "commander";
import type { OperatorClient } from "../../operatorClient.js";
import { printTable } from "../../printTable.js";

interface LogbookOptions {
    task: string;
    worker: string;
    since: number;
    limit: number;
}

const MILLISECONDS_PER_MINUTE = 60_000;

/** Adds `logbook DOMAIN`. */
export function addLogbookCommand(program: Command, openClient: () => OperatorClient): void {
    program.command("logbook <domain>")
        .description("print which tasks ran where and when, and which were stopped and why")
        .option("--task <id>", "only entries of this task", "")
        .option("--worker <name>", "only entries of this worker", "")
        .option("--since <minutes>", "only entries of the last minutes", Number, 0)
        .option("--limit <n>", "at most this many entries, the newest", Number, 50)
        .action(async (domain: string, options: LogbookOptions) => {
            const fromMs = options.since > 0 ? Date.now() - options.since * MILLISECONDS_PER_MINUTE : 0;
            const { lines } = await openClient().readLogbook({
                domain,
                taskId: options.task,
                worker: options.worker,
                fromMs: BigInt(Math.round(fromMs)),
                limit: options.limit,
            });
            const rows = lines.map(line => [
                new Date(Number(line.atMs)).toISOString(),
                line.event,
                line.taskId,
                line.worker,
                line.attempt,
                line.reason,
            ]);
            printTable(["TIME", "EVENT", "TASK", "WORKER", "ATTEMPT", "REASON"], rows);
        });
}
