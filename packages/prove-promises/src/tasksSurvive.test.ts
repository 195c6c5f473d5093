import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import {
    createBatchTask,
    LinkFault,
    LogFault,
    OperatorJsonClient,
    submitTasks,
    waitUntil,
} from "@sardinestage/stand-ins";
import type { Installation } from "@sardinestage/stand-ins";
import { testHarness } from "./testHarness.js";
import { waitForPhase } from "./waitForPhase.js";

const TASKS = 16;
const WORK_MS = 3_000;

let installation: Installation;
let taskIds: string[];

beforeEach(async () => {
    installation = await testHarness.start({}, { replicas: 0 });
    taskIds = Array.from({ length: TASKS }, (_, i) => `${testHarness.domain}/t${i}`);
    await submitTasks(installation, taskIds.map(taskId => createBatchTask(taskId, WORK_MS)));
    await waitUntil("all tasks run", () => installation.recorder.starts >= TASKS, testHarness.waitTimeoutMs);
});

afterEach(async () => {
    expect(installation.recorder.violations).toEqual([]);
    await installation.close();
});

/** Checks that every task finished exactly once and that the log records its end. */
async function checkAllFinished(): Promise<void> {
    await waitForPhase(installation, taskIds, "finished", testHarness.waitTimeoutMs);
    expect(taskIds.map(taskId => installation.recorder.completions.get(taskId))).toEqual(taskIds.map(() => 1));
}

/** Lists the workers on which tasks run. */
function listBusyWorkers(): string[] {
    return [...new Set(taskIds.flatMap(taskId => installation.recorder.getRunningWorker(taskId) ?? []))];
}

describe("running tasks", () => {
    describe("when an entry VM dies with its scheduler", () => {
        it("keep running without a restart and finish once", async () => {
            installation.stopEntryVm("gent-haven-e0");
            await checkAllFinished();
            expect(installation.recorder.resumes).toBe(0);
        });
    });

    describe("when every scheduler is killed and restarted", () => {
        it("keep running without a restart and finish once", async () => {
            for (const vm of installation.entryVms.values()) {
                vm.scheduler.sendSignal("SIGKILL");
                await vm.scheduler.waitForExit();
                vm.scheduler.start();
            }
            await checkAllFinished();
            expect(installation.recorder.resumes).toBe(0);
        });
    });

    describe("when a scheduler is frozen until its leases have expired and then continues", () => {
        it("are not run a second time", async () => {
            const { scheduler } = installation.getEntryVm("gent-haven-e0");
            scheduler.sendSignal("SIGSTOP");
            await checkAllFinished();
            scheduler.sendSignal("SIGCONT");
            const more = Array.from({ length: TASKS }, (_, i) => `${testHarness.domain}/more${i}`);
            await submitTasks(installation, more.map(taskId => createBatchTask(taskId, 300)));
            await waitForPhase(installation, more, "finished", testHarness.waitTimeoutMs);
        });
    });

    describe("when a worker's VM dies", () => {
        it("resume exactly once on another worker, and only after their leases have certainly expired", async () => {
            const [lost] = listBusyWorkers();
            const tasksOnWorker = taskIds.filter(taskId => installation.recorder.getRunningWorker(taskId) === lost);
            installation.stopWorker(lost);
            await checkAllFinished();
            expect(installation.recorder.resumes).toBe(tasksOnWorker.length);
        });
    });

    describe("when no scheduler can reach a worker until its leases have expired", () => {
        it("never run on two workers at once, and those that ended unreported don't run again", async () => {
            const [lost] = listBusyWorkers();
            const { worker } = installation.fleet.getWorker(lost);
            const long = Array.from({ length: TASKS }, (_, i) => `${testHarness.domain}/long${i}`);
            await submitTasks(installation, long.map(taskId => createBatchTask(taskId, WORK_MS * 4)));
            await waitUntil(
                "all tasks run",
                () => installation.recorder.starts >= TASKS * 2,
                testHarness.waitTimeoutMs,
            );
            installation.network.setFault(LinkFault.Cut, (_, to) => to === lost);
            await waitUntil(
                "the worker has no running task",
                () => worker.listRunning().length === 0,
                testHarness.waitTimeoutMs,
            );
            installation.network.reset();
            await checkAllFinished();
            await waitForPhase(installation, long, "finished", testHarness.waitTimeoutMs);
        });
    });

    describe("when one scheduler can't reach a worker that another reaches", () => {
        it("keep running without a restart", async () => {
            installation.network.setFault(LinkFault.Cut, (from, to) => from === "gent-haven-e0" && /-w\d+$/.test(to));
            await checkAllFinished();
            expect(installation.recorder.resumes).toBe(0);
        });
    });

    describe("when an entry VM dies while the log is unavailable", () => {
        it("keep running, and their results are recorded once the log is available again", async () => {
            installation.log.fault = LogFault.Unavailable;
            installation.stopEntryVm("gent-haven-e0");
            await waitUntil(
                "all tasks complete",
                () => taskIds.every(taskId => installation.recorder.completions.has(taskId)),
                testHarness.waitTimeoutMs,
            );
            installation.log.fault = LogFault.None;
            await checkAllFinished();
            expect(installation.recorder.resumes).toBe(0);
        });
    });

    describe("when the log applies appends but its answers are lost", () => {
        it("start and finish once", async () => {
            installation.log.fault = LogFault.AnswersLost;
            const more = Array.from({ length: TASKS }, (_, i) => `${testHarness.domain}/more${i}`);
            await submitTasks(installation, more.map(taskId => createBatchTask(taskId, 300)));
            await waitForPhase(installation, more, "finished", testHarness.waitTimeoutMs);
            installation.log.fault = LogFault.None;
            await checkAllFinished();
        });
    });

    describe("when workers apply orders but their answers are lost", () => {
        it("start and finish once", async () => {
            installation.network.setFault(LinkFault.AnswersDropped, (_, to) => /-w\d+$/.test(to));
            await waitUntil("a lease has expired", async () => {
                const vms = [...installation.entryVms.values()];
                const metrics = await Promise.all(vms.map(vm => installation.readMetrics(vm.ports.schedulerMetrics)));
                return metrics.some(text => text.includes("worker_leases_lost_total"));
            }, testHarness.waitTimeoutMs);
            installation.network.reset();
            await checkAllFinished();
        });
    });

    describe("when all tasks are cancelled at once", () => {
        it("end as cancelled, and none keeps running", async () => {
            const calls = new OperatorJsonClient([...installation.entryVms.values()][0].ports.admin);
            const answers = await Promise.all(
                taskIds.map(taskId => calls.call("CancelTask", { taskId, reason: "wave" })),
            );
            expect(answers.every(answer => answer.ok)).toBe(true);
            await waitForPhase(installation, taskIds, "cancelled", testHarness.waitTimeoutMs);
            expect(listBusyWorkers()).toEqual([]);
        });
    });
});
