import type { Command } from "commander";
import { randomUUID } from "node:crypto";
import type { OperatorClient } from "../../operatorClient.js";
import { printTable } from "../../printTable.js";

/** Adds `worker list | drain | restore`. */
export function addWorkerCommand(program: Command, openClient: () => OperatorClient): void {
    const worker = program.command("worker").description("workers");
    const changeId = [
        "--change-id <id>",
        "id of the change; repeating a call with the same id has no further effect",
        randomUUID(),
    ] as const;
    worker.command("list <domain>").description("list the workers of a failure domain").action(
        async (domain: string) => {
            const { workers } = await openClient().listWorkers({ domain });
            const rows = workers.map(each => [
                each.name,
                each.rack,
                each.drained ? "drained" : each.state,
                each.boundTasks,
                each.condemned,
                each.holder,
            ]);
            printTable(["WORKER", "RACK", "STATE", "TASKS", "CONDEMNED", "HOLDER"], rows);
        },
    );
    worker.command("drain <name>").description("drain a worker, so that it gets no new work").option(...changeId)
        .action(async (name: string, options: { changeId: string }) => {
            const { version } = await openClient().drainWorker({ ...options, worker: name });
            process.stdout.write(`Version ${version} is accepted; ${name} takes no new work.\n`);
        });
    worker.command("restore <name>").description("restore a drained worker").option(...changeId)
        .action(async (name: string, options: { changeId: string }) => {
            const { version } = await openClient().restoreWorker({ ...options, worker: name });
            process.stdout.write(`Version ${version} is accepted; ${name} takes work again.\n`);
        });
}
