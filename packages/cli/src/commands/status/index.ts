import type { Command } from "commander";
import type { OperatorClient } from "../../operatorClient.js";
import { printTable } from "../../printTable.js";

/** Adds `status`. */
export function addStatusCommand(program: Command, openClient: () => OperatorClient): void {
    program.command("status").description("print an overview of failure domains and processes").action(async () => {
        const status = await openClient().getStatus({});
        process.stdout.write(`Configuration version ${status.configVersion}\n\n`);
        printTable(
            ["DOMAIN", "WAITING", "BOUND", "PARKED", "WORKERS", "CONDEMNED", "LOG AGE MS"],
            status.domains.map(each => [
                each.domain,
                each.waitingTasks,
                each.boundTasks,
                each.parkedTasks,
                each.workers,
                each.condemnedWorkers,
                Number(each.logAgeMs),
            ]),
        );
        process.stdout.write("\n");
        printTable(
            ["VM", "PROCESS", "REACHABLE", "STATUS"],
            status.processes.map(each => [each.vm, each.role, each.reachable, each.statusJson]),
        );
    });
}
