import type { Installation } from "./installation.js";
import { OperatorJsonClient } from "./operatorJsonClient.js";
import { waitUntil } from "./waitUntil.js";

const TIMEOUT_MS = 15_000;

/** Submits each task, always with the same id, to the administration processes in turn until one accepts the task. */
export async function submitTasks(installation: Installation, tasks: readonly object[]): Promise<void> {
    await Promise.all(tasks.map(async (task, index) => {
        let tries = index;
        await waitUntil("a task is accepted", async () => {
            const vms = [...installation.entryVms.values()];
            const calls = new OperatorJsonClient(vms[tries++ % vms.length].ports.admin);
            const answer = await calls.call("SubmitTask", { task }).catch(() => undefined);
            return answer?.ok ?? false;
        }, TIMEOUT_MS);
    }));
}
