import { afterEach, beforeEach, describe, expect, it } from "@jest/globals";
import { createBatchTask, LinkFault, LogFault, OperatorCalls, submitTasks, waitUntil } from "@sardinestage/stand-ins";
import type { Installation } from "@sardinestage/stand-ins";
import { testBed } from "./testBed.js";
import { waitForPhase } from "./waitForPhase.js";

const TASKS = 16;
const WORK_MS = 3_000;

let installation: Installation;
let taskIds: string[];

beforeEach(async () => {
    installation = await testBed.start({}, { replicas: 0 });
    taskIds = Array.from({ length: TASKS }, (_, i) => `${testBed.domain}/t${i}`);
    await submitTasks(installation, taskIds.map(taskId => createBatchTask(taskId, WORK_MS)));
    await waitUntil("all tasks run", () => installation.recorder.starts >= TASKS, testBed.limitMs);
});

afterEach(async () => {
    expect(installation.recorder.violations).toEqual([]);
    await installation.close();
});

/** Every task came to its end once, and the log says so. */
async function checkAllFinished(): Promise<void> {
    await waitForPhase(installation, taskIds, "finished", testBed.limitMs);
    expect(taskIds.map(taskId => installation.recorder.completions.get(taskId))).toEqual(taskIds.map(() => 1));
}

/** The names of workers on which tasks run now. */
function listBusyWorkers(): string[] {
    return [...new Set(taskIds.flatMap(taskId => installation.recorder.getRunningWorker(taskId) ?? []))];
}

describe("running tasks", () => {
    describe("when an entry VM dies with its scheduler", () => {
        it("run on without a restart and finish once", async () => {
            installation.stopEntryVm("gent-haven-e0");
            await checkAllFinished();
            expect(installation.recorder.resumes).toBe(0);
        });
    });

    describe("when every scheduler is killed and started again", () => {
        it("run on without a restart and finish once", async () => {
            for (const vm of installation.entryVms.values()) {
                vm.scheduler.sendSignal("SIGKILL");
                await vm.scheduler.waitForExit();
                vm.scheduler.start();
            }
            await checkAllFinished();
            expect(installation.recorder.resumes).toBe(0);
        });
    });

    describe("when a scheduler is frozen past its leases and wakes", () => {
        it("suffer no second run", async () => {
            const { scheduler } = installation.getEntryVm("gent-haven-e0");
            scheduler.sendSignal("SIGSTOP");
            await checkAllFinished();
            scheduler.sendSignal("SIGCONT");
            const more = Array.from({ length: TASKS }, (_, i) => `${testBed.domain}/more${i}`);
            await submitTasks(installation, more.map(taskId => createBatchTask(taskId, 300)));
            await waitForPhase(installation, more, "finished", testBed.limitMs);
        });
    });

    describe("when a worker's VM dies", () => {
        it("resume elsewhere exactly once, and only after their leases have certainly lapsed", async () => {
            const [lost] = listBusyWorkers();
            const there = taskIds.filter(taskId => installation.recorder.getRunningWorker(taskId) === lost);
            installation.stopWorker(lost);
            await checkAllFinished();
            expect(installation.recorder.resumes).toBe(there.length);
        });
    });

    describe("when a worker is cut off from all schedulers until its leases have lapsed", () => {
        it("never run in two places, and those that came to their end unseen don't run again", async () => {
            const [lost] = listBusyWorkers();
            const { worker } = installation.fleet.getWorker(lost);
            const long = Array.from({ length: TASKS }, (_, i) => `${testBed.domain}/long${i}`);
            await submitTasks(installation, long.map(taskId => createBatchTask(taskId, WORK_MS * 4)));
            await waitUntil("all tasks run", () => installation.recorder.starts >= TASKS * 2, testBed.limitMs);
            installation.network.setFault(LinkFault.Cut, (_, to) => to === lost);
            await waitUntil("nothing runs there any more", () => worker.listRunning().length === 0, testBed.limitMs);
            installation.network.reset();
            await checkAllFinished();
            await waitForPhase(installation, long, "finished", testBed.limitMs);
        });
    });

    describe("when one scheduler can't reach a worker that another reaches", () => {
        it("run on without a restart", async () => {
            installation.network.setFault(LinkFault.Cut, (from, to) => from === "gent-haven-e0" && /-w\d+$/.test(to));
            await checkAllFinished();
            expect(installation.recorder.resumes).toBe(0);
        });
    });

    describe("when the log is out, and an entry VM dies in the outage", () => {
        it("run on, and their results are recorded when the log is back", async () => {
            installation.log.fault = LogFault.Out;
            installation.stopEntryVm("gent-haven-e0");
            await waitUntil(
                "all tasks come to their end",
                () => taskIds.every(taskId => installation.recorder.completions.has(taskId)),
                testBed.limitMs,
            );
            installation.log.fault = LogFault.None;
            await checkAllFinished();
            expect(installation.recorder.resumes).toBe(0);
        });
    });

    describe("when answers of the log are lost after the append took effect", () => {
        it("start and finish once", async () => {
            installation.log.fault = LogFault.AnswersLost;
            const more = Array.from({ length: TASKS }, (_, i) => `${testBed.domain}/more${i}`);
            await submitTasks(installation, more.map(taskId => createBatchTask(taskId, 300)));
            await waitForPhase(installation, more, "finished", testBed.limitMs);
            installation.log.fault = LogFault.None;
            await checkAllFinished();
        });
    });

    describe("when answers of the workers are lost after the order took effect", () => {
        it("start and finish once", async () => {
            installation.network.setFault(LinkFault.AnswersDropped, (_, to) => /-w\d+$/.test(to));
            await waitUntil("some lease has lapsed", async () => {
                const vms = [...installation.entryVms.values()];
                const metrics = await Promise.all(vms.map(vm => installation.readMetrics(vm.ports.schedulerMetrics)));
                return metrics.some(text => text.includes("worker_leases_lost_total"));
            }, testBed.limitMs);
            installation.network.reset();
            await checkAllFinished();
        });
    });

    describe("when a wave of cancellations comes", () => {
        it("end as cancelled or finished, and none runs on", async () => {
            const calls = new OperatorCalls([...installation.entryVms.values()][0].ports.admin);
            const answers = await Promise.all(
                taskIds.map(taskId => calls.call("CancelTask", { taskId, reason: "wave" })),
            );
            expect(answers.every(answer => answer.ok)).toBe(true);
            await waitForPhase(installation, taskIds, "cancelled", testBed.limitMs);
            expect(listBusyWorkers()).toEqual([]);
        });
    });
});
