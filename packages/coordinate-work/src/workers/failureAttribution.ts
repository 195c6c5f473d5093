import { formatTaskKey } from "@sardinestage/describe-work";
import type { StepRun, Task } from "@sardinestage/track-jobs";
import { FailureEvidence } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import { countDoubtfulWorkers } from "./countDoubtfulWorkers.js";
import { dropOldFailures } from "./dropOldFailures.js";
import { finishProbation } from "./finishProbation.js";
import { hasPassedTrial } from "./hasPassedTrial.js";
import { isFaultLikely } from "./isFaultLikely.js";
import { isWorking } from "./isWorking.js";
import { listStandingFailures } from "./listStandingFailures.js";
import { startProbation } from "./probation.js";
import { ProbationOutcome } from "./probationOutcome.js";
import type { TrackedWorker } from "./trackedWorker.js";

/** Failed runs of a worker that say that the worker is at fault. */
const MIN_WORKER_FAILURES = 3;
/** The same if any job that fails there has so few attempts that the third failure may be its last. */
const MIN_WORKER_FAILURES_EARLY = 2;
/** With so few attempts a queue's jobs are spared further failures on a worker that may be faulty. */
const FEW_ATTEMPTS = 2;
/** The most failed runs that are kept of a worker. */
const MAX_WORKER_FAILURES = 32;
/** Places at which the runs of a task or a step have to fail before they count as failing everywhere. */
const MIN_PLACES = 3;
/** The same if a task has only two attempts. */
const MIN_PLACES_FEW_ATTEMPTS = 2;
/** A step fails everywhere only if it has failed on this many times as many workers as may still show the contrary. */
const FAILED_TO_DOUBTFUL = 2;

/** Logged names of what puts a worker on probation. */
enum FailureKind {
    Failed = "failures",
    Stalled = "stalled",
}

/** Dependencies of the attribution of failures. */
interface FailureAttributionParts {
    readonly listWorkers: () => Iterable<TrackedWorker>;
}

/**
 * Attributes failed runs. A failure may be the fault of the task or of the worker, which the other runs of both tell: a
 * task, or a step, whose runs fail on several workers and succeed on none is at fault itself, and its failures count
 * against no worker. A worker is at fault if several runs fail there of tasks that may succeed elsewhere.
 */
export class FailureAttribution {
    constructor(private readonly parts: CoordinatorParts, private readonly collaborators: FailureAttributionParts) {}

    /** Notes a run that has failed on a worker. */
    noteFailedRun(worker: TrackedWorker, task: Task): void {
        const { job } = task.step.occurrence;
        const isEarly = this.parts.rules.features.protectsLastAttempts && job.queue.maxAttempts <= FEW_ATTEMPTS;
        this.addEvidence(worker, task);
        this.addWorkerFailure(worker, task, {
            minFailures: isEarly ? MIN_WORKER_FAILURES_EARLY : MIN_WORKER_FAILURES,
            kind: FailureKind.Failed,
        });
    }

    /** Notes runs that make no progress on a worker; together they count as one failed run of the worker. */
    noteStalledRuns(worker: TrackedWorker, tasks: readonly Task[]): void {
        tasks.forEach(task => this.addEvidence(worker, task));
        const telling = tasks.find(task => !task.failsEverywhere);
        if (telling !== undefined) {
            this.addWorkerFailure(worker, telling, { minFailures: MIN_WORKER_FAILURES, kind: FailureKind.Stalled });
        }
    }

    /**
     * Notes a run that has ended as done.
     *
     * @param isTelling Whether the run shows that the worker is sound now: earlier runs may end well on a worker that fails
     *   all that it starts.
     */
    noteDoneRun(worker: TrackedWorker, task: Task, isTelling: boolean): void {
        this.dropEvidence(task);
        if (isTelling) {
            this.noteSoundWorker(worker, "done");
        }
        else if (!this.parts.rules.features.protectsLastAttempts) {
            finishProbation(worker);
        }
    }

    /** Updates what is known from the runs that a worker has reported as active. */
    updateActiveRuns(worker: TrackedWorker): void {
        const nowMs = this.parts.clock.getNow();
        dropOldFailures(worker, nowMs);
        for (const task of worker.tasks) {
            const { failureEvidence } = task.step;
            const evidence = failureEvidence ?? task.failureEvidence;
            if (evidence !== undefined && task.step.spec.longRunning && isWorking(task, evidence.outlivedMs, nowMs)) {
                this.dropEvidence(task);
            }
        }
        if (hasPassedTrial(worker, nowMs)) {
            this.noteSoundWorker(worker, "works");
        }
        else if (worker.isOnTrial && worker.failures.length === 0 && nowMs >= worker.probationUntilMs) {
            this.parts.logger.info("worker-trial-expired", { worker: worker.entry.id });
            finishProbation(worker);
        }
    }

    /** Adds a failed run to what is known of its task and of its step. */
    private addEvidence(worker: TrackedWorker, run: Task): void {
        const nowMs = this.parts.clock.getNow();
        const task = run.original ?? run;
        const { step } = task;
        const place = { workerId: worker.entry.id, proofCount: worker.proofCount };
        const ranMs = nowMs - (run.firstSeenAtMs > 0 ? run.firstSeenAtMs : run.orderedAtMs);
        task.failureEvidence ??= new FailureEvidence();
        step.failureEvidence ??= new FailureEvidence();
        task.failureEvidence.addFailure(place, ranMs, nowMs);
        step.failureEvidence.addFailure(place, ranMs, nowMs);
        const wasKnown = task.failsEverywhere;
        const minPlaces = chooseMinPlaces(task);
        task.failureEvidence.failsEverywhere ||= task.failureEvidence.placeCount >= minPlaces;
        step.failureEvidence.failsEverywhere ||= isStepFailing(step, step.failureEvidence, minPlaces);
        if (!wasKnown && task.failsEverywhere) {
            this.reportFailingEverywhere(task);
            this.withdrawFailures();
        }
    }

    private reportFailingEverywhere(task: Task): void {
        const { step } = task;
        const isWholeStep = step.failureEvidence?.failsEverywhere === true;
        this.parts.metrics.count("tasks_failing_everywhere_total", isWholeStep ? "step" : "task");
        this.parts.logger.warn("task-fails-everywhere", {
            task: formatTaskKey(task.ref),
            isWholeStep,
            taskPlaces: task.failureEvidence?.placeCount,
            stepPlaces: step.failureEvidence?.placeCount,
        });
    }

    /** Forgets the failures of a task, and of its step, after a run that succeeded. */
    private dropEvidence(run: Task): void {
        const task = run.original ?? run;
        if (task.failsEverywhere) {
            this.parts.logger.info("task-succeeds", { task: formatTaskKey(task.ref) });
        }
        task.failureEvidence = undefined;
        task.step.failureEvidence = undefined;
    }

    /** Adds a failure to those that count against a worker, which may put it on probation. */
    private addWorkerFailure(
        worker: TrackedWorker,
        task: Task,
        { minFailures, kind }: { readonly minFailures: number; readonly kind: FailureKind },
    ): void {
        if (task.failsEverywhere) {
            return;
        }
        const { logger, metrics } = this.parts;
        const nowMs = this.parts.clock.getNow();
        worker.failures = [...worker.failures, { task, atMs: nowMs }].slice(-MAX_WORKER_FAILURES);
        worker.recentEnds.noteFailed(nowMs);
        const outcome = startProbation(worker, minFailures, this.collaborators.listWorkers(), nowMs);
        if (outcome === ProbationOutcome.NotNeeded) {
            return;
        }
        const isStarted = outcome === ProbationOutcome.Started;
        metrics.count(isStarted ? "probations_total" : "probations_left_out_total", kind);
        logger.warn(isStarted ? "worker-probation" : "worker-probation-left-out", {
            worker: worker.entry.id,
            reason: kind,
            failed: listStandingFailures(worker).slice(-minFailures).map(({ task }) => formatTaskKey(task.ref))
                .join(" "),
            ...isStarted && { untilMs: Math.round(worker.probationUntilMs - nowMs) },
        });
    }

    /** Restores the workers whose failures don't say any more that they are at fault. */
    private withdrawFailures(): void {
        for (const worker of this.collaborators.listWorkers()) {
            const standing = listStandingFailures(worker);
            if (standing.length === worker.failures.length) {
                continue;
            }
            worker.recentEnds.withdrawFailures(standing.at(-1)?.atMs);
            if (worker.isOnTrial && !isFaultLikely(worker, worker.probationFailureCount)) {
                worker.isOnTrial = false;
                worker.probationUntilMs = 0;
                worker.probationCount--;
                this.parts.logger.info("worker-probation-withdrawn", {
                    worker: worker.entry.id,
                    failed: standing.map(({ task }) => formatTaskKey(task.ref)).join(" "),
                });
            }
        }
    }

    private noteSoundWorker(worker: TrackedWorker, reason: string): void {
        if (worker.isOnTrial) {
            this.parts.logger.info("worker-trial-passed", { worker: worker.entry.id, reason });
        }
        if (worker.failures.length > 0) {
            worker.proofCount++;
        }
        finishProbation(worker);
    }
}

function chooseMinPlaces({ step: { spec, occurrence } }: Task): number {
    const hasFewAttempts = !spec.longRunning && occurrence.job.queue.maxAttempts <= MIN_PLACES_FEW_ATTEMPTS;
    return hasFewAttempts ? MIN_PLACES_FEW_ATTEMPTS : MIN_PLACES;
}

/** Whether a step fails everywhere: its other runs, on workers where it hasn't failed, are few. */
function isStepFailing(step: StepRun, evidence: FailureEvidence, minPlaces: number): boolean {
    const { placeCount } = evidence;
    const maxDoubtful = Math.floor(placeCount / FAILED_TO_DOUBTFUL);
    return placeCount >= minPlaces && countDoubtfulWorkers(step, evidence, maxDoubtful) <= maxDoubtful;
}
