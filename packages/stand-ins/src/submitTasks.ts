import type { Installation } from "./installation.js";
import { OperatorCalls } from "./operatorCalls.js";
import { waitUntil } from "./waitUntil.js";

const LIMIT_MS = 15_000;

/** Submits tasks at whichever administration process answers; each is repeated under its own id until accepted. */
export async function submitTasks(installation: Installation, tasks: readonly object[]): Promise<void> {
    await Promise.all(tasks.map(async (task, index) => {
        let tries = index;
        await waitUntil("a task is accepted", async () => {
            const vms = [...installation.entryVms.values()];
            const calls = new OperatorCalls(vms[tries++ % vms.length].ports.admin);
            const answer = await calls.call("SubmitTask", { task }).catch(() => undefined);
            return answer?.ok ?? false;
        }, LIMIT_MS);
    }));
}
