import type { Clock } from "@sardinestage/describe-ports";
import type { PlacementExplanation, PlacementQuestion, StepExplanation } from "@sardinestage/describe-work";
import { ExplainOutcome } from "@sardinestage/describe-work";
import type { PlannedStart, StartRules, StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import { countRuledOut, explainWait, planStarts } from "@sardinestage/plan-starts";
import type { StepRun } from "@sardinestage/track-jobs";
import { Job } from "@sardinestage/track-jobs";
import type { JobRegistry } from "../jobs/jobRegistry.js";
import { listEvacuatedCapacities } from "../planning/listEvacuatedCapacities.js";
import { PlacementScorer } from "../planning/placementScorer.js";
import type { PlanningRound } from "../planning/planningRound.js";
import type { LearnedEstimates } from "../records/learnedEstimates.js";
import { explainUnusable } from "../workers/explainUnusable.js";
import type { Fleet } from "../workers/fleet.js";
import { describeChoice } from "./describeChoice.js";
import { describeUnusableReason } from "./describeUnusableReason.js";
import { describeWaitReason } from "./describeWaitReason.js";

/** The most tasks that one explanation places. */
const MAX_TASKS = 200;
/** The most steps in one explanation; each is compared with every worker. */
const MAX_STEPS = 8;
/** Least time between two explanations, in milliseconds: one took 5 to 56 ms in a trial with 342 workers and 8 steps. */
const MIN_INTERVAL_MS = 250;

/** What a plan that isn't carried out is made with. */
interface TrialPlan {
    readonly capacities: readonly WorkerCapacity[];
    readonly rules: StartRules;
    readonly evacuated: readonly WorkerCapacity[];
    readonly nowMs: number;
}

/**
 * Explains where the ready tasks of a job would start now, and why, or why they wait. The job is planned alone by the
 * rules of a planning round, on capacities of its own, so nothing that rounds use changes. Demands that the last round
 * left waiting count only by what they have reserved.
 */
export class PlacementExplainer {
    private explainedAtMs = -Infinity;

    /**
     * @param clock The clock.
     * @param jobs All jobs.
     * @param fleet All workers.
     * @param planningRound The rules and the state of the planning rounds.
     * @param learned What is known of the interference of images.
     */
    constructor(
        private readonly clock: Clock,
        private readonly jobs: JobRegistry,
        private readonly fleet: Fleet,
        private readonly planningRound: PlanningRound,
        private readonly learned: Pick<LearnedEstimates, "headroom">,
    ) {}

    /** Answers a question about a job's placement. */
    explain(question: PlacementQuestion): PlacementExplanation {
        const nowMs = this.clock.getNow();
        if (nowMs - this.explainedAtMs < MIN_INTERVAL_MS) {
            return this.createAnswer(ExplainOutcome.TooOften);
        }
        this.explainedAtMs = nowMs;
        if (!("id" in question)) {
            return this.explainJob(this.createUnsubmitted(question), nowMs);
        }
        const { live, finished } = this.jobs;
        const job = live.get(question.id);
        if (job?.isFinished === true || finished.has(question.id)) {
            return this.createAnswer(ExplainOutcome.JobFinished);
        }
        if (job === undefined) {
            return this.createAnswer(ExplainOutcome.UnknownJob);
        }
        // Rounds open occurrences, so while nothing may start, or before the first is due, none may be open.
        return this.explainJob(job.openOccurrences.size > 0 ? job : this.createUnsubmitted(job), nowMs);
    }

    /** Creates a job that is known only here, with one occurrence that is due now. */
    private createUnsubmitted({ spec, queue }: Pick<Job, "spec" | "queue">): Job {
        const job = new Job("", { ...spec, repeatCount: 0 }, queue, this.clock.getWallTime());
        job.addOccurrence(0);
        return job;
    }

    private explainJob(job: Job, nowMs: number): PlacementExplanation {
        const waiting = [...job.openOccurrences.values()].flatMap(({ steps }) => steps.filter(step => step.isWaiting));
        const listed = waiting.slice(0, MAX_STEPS);
        const plan = this.buildPlan(nowMs);
        const demands = listed.filter(step => step.isReady).map(step =>
            this.planningRound.describeDemand({ step, waiting: step.collectWaiting(MAX_TASKS) })
        );
        const ruledOut = new Map(demands.map(demand => [demand.step, this.listRuledOut(demand, plan)]));
        const before = new Map(plan.capacities.map(worker => [worker.workerId, createCopy(worker)]));
        const { starts, unmet } = planStarts(demands, plan.capacities, plan.rules);
        const steps = listed.map((step): StepExplanation => {
            const demand = demands.find(each => each.step === step);
            const described = describeStep(step);
            if (demand === undefined) {
                return described;
            }
            const placed = starts.filter(({ task }) => task.step === step);
            const placements = listPlacements(placed, demand, before, plan.rules);
            const waitReason = explainRest(demand, placed.length, unmet.includes(demand), plan);
            return {
                ...described,
                ...ruledOut.get(step),
                placements,
                ...waitReason === undefined ? {} : { waitReason },
            };
        });
        return { ...this.createAnswer(ExplainOutcome.Explained), steps, leftOutCount: waiting.length - listed.length };
    }

    private buildPlan(nowMs: number): TrialPlan {
        const { planningRound, fleet, learned } = this;
        const capacities = planningRound.buildCapacities(nowMs);
        const rules = planningRound.describeRules(capacities, new PlacementScorer(learned.headroom), nowMs);
        rules.reservations?.startRound(capacities, nowMs);
        return {
            capacities,
            rules: { ...rules, maxStarts: MAX_TASKS },
            evacuated: listEvacuatedCapacities(fleet.workers.values(), nowMs),
            nowMs,
        };
    }

    private listRuledOut(
        demand: StepDemand,
        { capacities, rules, nowMs }: TrialPlan,
    ): Pick<StepExplanation, "candidateCount" | "ruledOut"> {
        const counts = new Map<string, number>();
        const add = (reason: string, count: number) => counts.set(reason, (counts.get(reason) ?? 0) + count);
        for (const worker of this.fleet.workers.values()) {
            const reason = explainUnusable(worker, nowMs);
            if (reason !== undefined) {
                add(describeUnusableReason(reason), 1);
            }
        }
        const unmet = countRuledOut(demand, capacities, rules);
        unmet.forEach((count, reason) => add(describeWaitReason(reason), count));
        const unmetCount = [...unmet.values()].reduce((sum, count) => sum + count, 0);
        return {
            candidateCount: capacities.length - unmetCount,
            ruledOut: [...counts].map(([reason, workers]) => ({ reason, workers })),
        };
    }

    private createAnswer(outcome: ExplainOutcome): PlacementExplanation {
        return { outcome, mayStart: this.planningRound.canStart, steps: [], leftOutCount: 0 };
    }
}

/** Copies a capacity before a plan takes from it. The plan adds to its lists, so these are copied too. */
function createCopy(worker: WorkerCapacity): WorkerCapacity {
    return { ...worker, servingTasks: [...worker.servingTasks], bestEffortSpecs: [...worker.bestEffortSpecs] };
}

function describeStep(step: StepRun): StepExplanation {
    const { steps, number } = step.occurrence;
    return {
        occurrence: number,
        step: step.number,
        taskCount: step.spec.taskCount,
        activeCount: [...step.listKnown()].filter(task => task.isActive).length,
        waitingCount: step.waitingCount,
        waitsForSteps: step.spec.dependsOn.filter(earlier => !steps[earlier].isDone),
        placements: [],
        candidateCount: 0,
        ruledOut: [],
    };
}

function listPlacements(
    placed: readonly PlannedStart[],
    demand: StepDemand,
    before: ReadonlyMap<string, WorkerCapacity>,
    rules: StartRules,
): StepExplanation["placements"] {
    const byWorker = new Map<string, number[]>();
    placed.forEach(({ task, workerId }) => byWorker.set(workerId, [...byWorker.get(workerId) ?? [], task.index]));
    return [...byWorker].map(([workerId, tasks]) => {
        const worker = before.get(workerId);
        return { workerId, tasks, reasons: worker === undefined ? [] : describeChoice(worker, demand, rules) };
    });
}

/** Explains why tasks of a demand would wait; undefined if all of them would start. */
function explainRest(
    demand: StepDemand,
    placedCount: number,
    isUnmet: boolean,
    { capacities, rules, evacuated }: TrialPlan,
): string | undefined {
    const { step, waiting } = demand;
    if (placedCount >= step.waitingCount) {
        return undefined;
    }
    if (isUnmet) {
        return describeWaitReason(explainWait(demand, capacities, rules, evacuated));
    }
    if (step.spec.gang) {
        return waiting.length < step.waitingCount
            ? `the gang is larger than the ${MAX_TASKS} tasks that an explanation plans`
            : "not all members of the gang wait, or it waits for workers that recent runs prove sound";
    }
    return placedCount >= waiting.length || placedCount > 0
        ? `an explanation plans at most ${MAX_TASKS} tasks`
        : "waits for a worker that recent runs prove sound, or isn't reached by the plan";
}
