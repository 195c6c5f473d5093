import type { TaskStatus } from "@sardinestage/operator-rpc";
import type { Command } from "commander";
import type { OperatorClient } from "../../operatorClient.js";
import { printJson } from "../../printJson.js";
import { printTable } from "../../printTable.js";

interface SubmitOptions {
    team: string;
    class: string;
    urgency: number;
    cpuMillis: number;
    memoryMb: number;
    accelerators: number;
    slots: number;
    runMs: number;
    payload: string;
}

/** Adds `task submit | cancel | inspect | list`. */
export function addTaskCommand(program: Command, openClient: () => OperatorClient): void {
    const task = program.command("task").description("batch tasks");
    task.command("submit <id>")
        .description("submit a task; the id is FAILURE-DOMAIN/NAME, and submitting the same task again is safe")
        .requiredOption("--team <team>", "team to which the task belongs")
        .option("--class <class>", "class of the task; tasks of one class are expected to behave alike", "default")
        .option("--urgency <0-3>", "0 low, 1 normal, 2 high, 3 critical", Number, 1)
        .option("--cpu-millis <n>", "thousandths of a core", Number, 1_000)
        .option("--memory-mb <n>", "memory in MB", Number, 512)
        .option("--accelerators <n>", "accelerators", Number, 0)
        .option("--slots <n>", "task slots", Number, 1)
        .option("--run-ms <n>", "expected run time in milliseconds", Number, 60_000)
        .option("--payload <text>", "payload passed to the worker", "")
        .action(async (taskId: string, options: SubmitOptions) => {
            const { team, urgency, cpuMillis, memoryMb, accelerators, slots, runMs, payload } = options;
            const { status } = await openClient().submitTask({
                task: {
                    taskId,
                    team,
                    urgency,
                    taskClass: options.class,
                    expectedRunMs: runMs,
                    payload,
                    size: { cpuMillis, memoryMb, accelerators, slots },
                },
            });
            printStatus(status ? [status] : []);
        });
    task.command("cancel <id>").description("request the cancellation of a task").option(
        "--reason <text>",
        "why",
        "",
    )
        .action(async (taskId: string, { reason }: { reason: string }) => {
            const { status } = await openClient().cancelTask({ taskId, reason });
            printStatus(status ? [status] : []);
        });
    task.command("inspect <id>").description("print the status of a task").action(async (taskId: string) => {
        printJson((await openClient().inspectTask({ taskId })).status);
    });
    task.command("list <domain>").description("list the tasks of a failure domain")
        .option(
            "--phase <phase>",
            "only tasks in this phase: waiting, bound, finished, failed, cancelled or parked",
            "",
        )
        .option("--limit <n>", "at most this many tasks", Number, 50)
        .action(async (domain: string, options: { phase: string; limit: number }) => {
            printStatus((await openClient().listTasks({ domain, ...options })).tasks);
        });
}

function printStatus(tasks: readonly TaskStatus[]): void {
    const rows = tasks.map((
        { task, phase, worker, lastAttempt, reason },
    ) => [task?.taskId ?? "", task?.team ?? "", phase, worker, lastAttempt, reason]);
    printTable(["TASK", "TEAM", "PHASE", "WORKER", "ENDED ATTEMPTS", "REASON"], rows);
}
