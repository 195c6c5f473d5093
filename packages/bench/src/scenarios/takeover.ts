import type { Installation } from "@sardinestage/stand-ins";
import {
    createBatchTask,
    createConfig,
    createDefaultPlan,
    LogFault,
    startConfiguredInstallation,
    submitTasks,
    waitUntil,
} from "@sardinestage/stand-ins";
import type { Figure } from "../figure.js";
import type { Scenario } from "../scenario.js";

const TASKS = 60;
const SLOTS = 32;
const WORK_MS = 1_500;
const OUTAGE_MS = 15_000;
const LEASE_MS = 2_000;
const MAX_REACQUIRE_MS = LEASE_MS + 3_000;
const MIN_FINISHED_SHARE = 0.9;
const WAIT_TIMEOUT_MS = 30_000;

/** Measures the progress of tasks when a scheduler's VM dies while the log is unavailable. */
export const takeover: Scenario = {
    name: "takeover",
    description: "a scheduler's VM dies while the log is out; against the same installation with nothing wrong",
    run: async (_seed, printProgress) => {
        const baselineRun = await runTasks(printProgress, async () => ({ leasesReacquiredMs: 0 }));
        const outageRun = await runTasks(printProgress, injectOutage);
        const share = outageRun.finishedInWindow / Math.max(1, baselineRun.finishedInWindow);
        const figures: Figure[] = [
            {
                name: "all workers held again",
                unit: "ms",
                value: outageRun.leasesReacquiredMs,
                target: `<= ${MAX_REACQUIRE_MS}`,
                ok: outageRun.leasesReacquiredMs <= MAX_REACQUIRE_MS,
            },
            {
                name: "promises broken",
                unit: "count",
                value: outageRun.violations,
                target: "0",
                ok: outageRun.violations === 0,
            },
            { name: "tasks lost", unit: "count", value: outageRun.lost, target: "0", ok: outageRun.lost === 0 },
            {
                name: "claimed work finished in the outage, as a share of calm",
                unit: "share",
                value: share,
                baseline: 1,
                target: `>= ${MIN_FINISHED_SHARE}`,
                ok: share >= MIN_FINISHED_SHARE,
            },
        ];
        return figures;
    },
};

interface TakeoverRun {
    /** Time until the remaining scheduler holds every worker's lease, in milliseconds; 0 without an outage. */
    readonly leasesReacquiredMs: number;
    /** Tasks finished between the time when all were claimed and the end of the outage, `OUTAGE_MS` later. */
    readonly finishedInWindow: number;
    readonly violations: number;
    readonly lost: number;
}

async function runTasks(
    printProgress: (message: string) => void,
    inject: (installation: Installation) => Promise<{ leasesReacquiredMs: number }>,
): Promise<TakeoverRun> {
    const config = createConfig({ services: {}, serviceMs: 1, concurrency: 1, batchShare: 0.5 });
    const plan = createDefaultPlan();
    const scheduler = { ...plan.settings.scheduler, placement: { bindAhead: 20 } };
    const installation = await startConfiguredInstallation(
        { ...plan, settings: { ...plan.settings, scheduler } },
        config,
    );
    try {
        const taskIds = Array.from({ length: TASKS }, (_, i) => `gent-haven/t${i}`);
        await submitTasks(installation, taskIds.map(taskId => createBatchTask(taskId, WORK_MS)));
        const isClaimed = async () => {
            const [{ ports }] = installation.entryVms.values();
            const { waitingTasks } = await installation.readStatus(ports.schedulerMetrics) as { waitingTasks: number };
            return waitingTasks === 0 && installation.recorder.starts >= SLOTS;
        };
        await waitUntil("all tasks are claimed", isClaimed, WAIT_TIMEOUT_MS);
        const { completions } = installation.recorder;
        const before = completions.size;
        printProgress(`${TASKS} tasks are claimed, ${before} have finished`);
        const { leasesReacquiredMs } = await inject(installation);
        const remainingMs = OUTAGE_MS - leasesReacquiredMs;
        await waitUntil(
            "the work is done, or the outage ends",
            () => completions.size === TASKS,
            Math.max(1, remainingMs),
        )
            .catch(() => printProgress(`the outage ends with ${completions.size} of ${TASKS} finished`));
        const finishedInWindow = completions.size - before;
        installation.log.fault = LogFault.None;
        await waitUntil("all tasks finish", () => completions.size === TASKS, WAIT_TIMEOUT_MS).catch(() => undefined);
        const lost = TASKS - completions.size;
        return { leasesReacquiredMs, finishedInWindow, violations: installation.recorder.violations.length, lost };
    }
    finally {
        await installation.close();
    }
}

async function injectOutage(installation: Installation): Promise<{ leasesReacquiredMs: number }> {
    const names = [...installation.fleet.workers.keys()];
    installation.log.fault = LogFault.Unavailable;
    installation.stopEntryVm("gent-haven-e0");
    const [{ record, ports }] = installation.entryVms.values();
    const leasesReacquiredMs = await waitUntil("every worker's lease is held by the VM that is left", async () => {
        const { leasedWorkers } = await installation.readStatus(ports.schedulerMetrics) as { leasedWorkers: string[] };
        return leasedWorkers.length === names.length && record.vm !== "gent-haven-e0";
    }, WAIT_TIMEOUT_MS);
    return { leasesReacquiredMs };
}
