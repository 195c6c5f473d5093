import { OperatorJsonClient, waitUntil } from "@sardinestage/stand-ins";
import type { Installation } from "@sardinestage/stand-ins";

/** Waits until every task has been seen in the phase; administration processes that don't answer are skipped. */
export async function waitForPhase(
    installation: Installation,
    taskIds: readonly string[],
    phase: string,
    timeoutMs: number,
): Promise<void> {
    const missing = new Set(taskIds);
    await waitUntil(`all tasks are ${phase}`, async () => {
        for (const { ports } of installation.entryVms.values()) {
            const request = { domain: taskIds[0].split("/")[0], phase, limit: 10_000 };
            const answer = await new OperatorJsonClient(ports.admin).call("ListTasks", request).catch(() => undefined);
            const tasks = (answer?.body.tasks ?? []) as { task: { taskId: string } }[];
            tasks.forEach(({ task }) => missing.delete(task.taskId));
        }
        return missing.size === 0;
    }, timeoutMs);
}
