import { formatTaskKey } from "@sardinestage/describe-work";
import type { CopyCandidate, QueueUse } from "@sardinestage/plan-copies";
import { planCopies } from "@sardinestage/plan-copies";
import type { StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import {
    allocateCapacity,
    countTasksPerWorker,
    hasCapacity,
    hasOneAttemptLeft,
    isAllowedOn,
    isStepLimitReached,
    WorkerTrust,
} from "@sardinestage/plan-starts";
import type { StepRun, Task } from "@sardinestage/track-jobs";
import { applyRunStart, chooseNextRun, createCopy, TaskPhase } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { DurationEstimator } from "../jobs/durationEstimator.js";
import type { JobRecorder } from "../records/jobRecorder.js";
import type { Fleet } from "../workers/fleet.js";

/** Interval at which running tasks are checked, in milliseconds: short against tasks of 0.7 s. */
const CHECK_INTERVAL_MS = 50;
/** A worker on which tasks take more than this many times as long as expected gets no copy. */
const MAX_SLOWNESS = 1.3;

/** Dependencies of a copy starter. */
interface CopyStarterParts {
    readonly fleet: Pick<Fleet, "workers">;
    readonly durations: DurationEstimator;
    readonly recorder: Pick<JobRecorder, "recordJob">;
    /** Sends the start of a copy once its record is written. */
    readonly sendWhenRecorded: (copy: Task, workerId: string) => void;
}

/** Starts copies of slow tasks on other workers, where their step permits it and no other work waits for the room. */
export class CopyStarter {
    private nextCheckAtMs = 0;

    constructor(private readonly parts: CoordinatorParts, private readonly collaborators: CopyStarterParts) {}

    /**
     * Starts the copies that are worthwhile now.
     *
     * @param unmet Demands that found no room in this round, or none on a trusted worker: no copy takes room that these
     *   wait for.
     * @param listCapacities Lists the free capacity of the workers after the round.
     */
    startCopies(unmet: readonly StepDemand[], listCapacities: () => readonly WorkerCapacity[]): void {
        const nowMs = this.parts.clock.getNow();
        if (!this.parts.rules.features.copiesSlowTasks || nowMs < this.nextCheckAtMs) {
            return;
        }
        this.nextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
        const waitingPriority = Math.min(...unmet.map(demand => demand.step.occurrence.job.queue.priority));
        const { candidates, queueUse } = this.collectCandidates(waitingPriority, nowMs);
        if (candidates.length === 0) {
            return;
        }
        const capacities = listCapacities();
        const takenIds = new Map<StepRun, string[]>();
        const { copies, refused } = planCopies(candidates, queueUse, task => {
            const workerId = this.takeWorker(task, capacities, takenIds.get(task.step) ?? [], nowMs);
            if (workerId !== undefined) {
                takenIds.set(task.step, [...takenIds.get(task.step) ?? [], workerId]);
            }
            return workerId;
        });
        copies.forEach(({ item, workerId }) => this.startCopy(item, workerId, nowMs));
        if (refused > 0) {
            this.parts.metrics.count("copies_refused_total", "bound", refused);
        }
    }

    private collectCandidates(waitingPriority: number, nowMs: number) {
        const candidates: CopyCandidate<Task>[] = [];
        const queueUse = new Map<string, QueueUse>();
        const strayTasks = this.listStrayTasks();
        for (const worker of this.collaborators.fleet.workers.values()) {
            for (const task of worker.tasks) {
                const { queue } = task.step.occurrence.job;
                const { cpuMillis } = task.step.spec;
                const { ownCpuMillis, copyCpuMillis } = queueUse.get(queue.name)
                    ?? { ownCpuMillis: 0, copyCpuMillis: 0 };
                queueUse.set(
                    queue.name,
                    task.original === undefined
                        ? { ownCpuMillis: ownCpuMillis + cpuMillis, copyCpuMillis }
                        : { ownCpuMillis, copyCpuMillis: copyCpuMillis + cpuMillis },
                );
                const isAlone = strayTasks.size === 0 || !strayTasks.has(formatTaskKey(task.ref));
                const mayCopy = queue.priority < waitingPriority && isAlone;
                const candidate = mayCopy ? this.buildCandidate(task, nowMs) : undefined;
                candidates.push(...candidate === undefined ? [] : [candidate]);
            }
        }
        return { candidates, queueUse };
    }

    /**
     * Lists the keys of the tasks that have a run beside those that are followed, such as the earlier one of two that the
     * coordinator has found at its takeover. Until it has ended, a copy would be one run too many.
     */
    private listStrayTasks(): ReadonlySet<string> {
        const runs = [...this.collaborators.fleet.workers.values()].flatMap(({ strayRuns }) => [...strayRuns]);
        return new Set(runs.map(key => key.slice(0, key.lastIndexOf("#"))));
    }

    private buildCandidate(task: Task, nowMs: number): CopyCandidate<Task> | undefined {
        const { spec, occurrence: { job } } = task.step;
        if (!isCopyable(task)) {
            return undefined;
        }
        const { durations } = this.collaborators;
        const newRunMs = durations.estimateRemaining(job.queue.name, spec, 0);
        const remainingMs = durations.estimateRemaining(job.queue.name, spec, nowMs - task.orderedAtMs);
        return newRunMs === undefined || remainingMs === undefined
            ? undefined
            : { item: task, queue: job.queue.name, cpuMillis: spec.cpuMillis, remainingMs, newRunMs };
    }

    /**
     * Takes the room of the emptiest worker that is sound, as far as its recent runs tell.
     *
     * @param takenIds Workers on which copies of the step are planned already, one entry per copy.
     */
    private takeWorker(
        task: Task,
        capacities: readonly WorkerCapacity[],
        takenIds: readonly string[],
        nowMs: number,
    ): string | undefined {
        const { step } = task;
        const perWorker = countTasksPerWorker(step, takenIds);
        const minTrust = hasOneAttemptLeft(task) ? WorkerTrust.Proven : WorkerTrust.Unknown;
        let best: WorkerCapacity | undefined;
        for (const capacity of capacities) {
            const { workerId } = capacity;
            const isSuitable = workerId !== task.workerId && workerId !== task.lastFailedWorkerId
                && capacity.freeCpuMillis > (best?.freeCpuMillis ?? 0) && isAllowedOn(step, capacity)
                && hasCapacity(capacity, step.spec, false)
                && !isStepLimitReached(step.spec, perWorker.get(workerId))
                && this.isTrusted(workerId, minTrust, nowMs);
            best = isSuitable ? capacity : best;
        }
        if (best !== undefined) {
            allocateCapacity(best, step);
        }
        return best?.workerId;
    }

    private isTrusted(workerId: string, minTrust: WorkerTrust, nowMs: number): boolean {
        const worker = this.collaborators.fleet.workers.get(workerId);
        return worker !== undefined && worker.recentEnds.estimateTrust(nowMs) >= minTrust
            && worker.slowness.estimateSlowness(nowMs) < MAX_SLOWNESS;
    }

    private startCopy(task: Task, workerId: string, nowMs: number): void {
        const run = chooseNextRun(task);
        const copy = createCopy(task);
        task.lastCopyRun = run;
        applyRunStart(copy, workerId, run, nowMs);
        this.collaborators.fleet.workers.get(workerId)?.tasks.add(copy);
        const ranMs = Math.round(nowMs - task.orderedAtMs);
        this.parts.metrics.count("copies_started_total", task.step.occurrence.job.queue.name);
        this.parts.logger.info("copy-started", {
            task: formatTaskKey(task.ref),
            run,
            worker: workerId,
            slowWorker: task.workerId,
            ranMs,
        });
        this.collaborators.recorder.recordJob(task.step.occurrence.job);
        this.collaborators.sendWhenRecorded(copy, workerId);
    }
}

function isCopyable(task: Task): boolean {
    const { spec, occurrence: { job } } = task.step;
    return spec.speculative && !spec.gang && !spec.longRunning && !spec.isBestEffort
        && task.original === undefined && task.copy === undefined && task.phase === TaskPhase.Running
        && !job.isFinished && job.queue.advice === undefined;
}
