import type { StepSpec } from "@sardinestage/describe-work";
import type { StepRun, Task } from "@sardinestage/track-jobs";
import { computeFreedCpu } from "./computeFreedCpu.js";
import { countTasksPerWorker } from "./countTasksPerWorker.js";
import { isAllowedOn } from "./isAllowedOn.js";
import { isInterrupted } from "./isInterrupted.js";
import { isOverdueFirstStart } from "./isOverdueFirstStart.js";
import { isStepLimitReached } from "./isStepLimitReached.js";
import type { Preemption } from "./preemption.js";
import type { StepDemand } from "./stepDemand.js";
import type { Victim } from "./victim.js";
import type { WorkerCapacity } from "./workerCapacity.js";
import { WorkerVictims } from "./workerVictims.js";

/**
 * Chooses, within one planning round, the tasks to preempt for demands that don't fit on any worker, so that urgent
 * work starts on a fleet that is full of work of lower priority.
 *
 * The victims of a worker are summed up once per round. A demand isn't tried again after an equal one has found no
 * victims, since the stops of a round only reduce the number of possible victims.
 */
export class PreemptionPlanner {
    private readonly victimsByWorker = new Map<string, WorkerVictims>();
    private readonly keysWithoutVictims = new Set<string | StepRun>();
    /** By step, the workers on which this round preempts tasks for it, one entry per task. */
    private readonly plannedWorkerIds = new Map<StepRun, string[]>();

    /**
     * @param workers Free capacity of the workers.
     * @param listTasks The tasks that run on a worker.
     * @param isAdvised Whether the advice service allows the task on the worker; true for queues without one.
     */
    constructor(
        private readonly workers: readonly WorkerCapacity[],
        private readonly listTasks: (workerId: string) => Iterable<Task>,
        private readonly isAdvised: (task: Task, workerId: string) => boolean,
    ) {}

    /**
     * Chooses the tasks to preempt for one task of a demand: the cheapest set of tasks of lower priority on one worker.
     *
     * @returns Undefined when no worker has enough tasks that may be preempted.
     */
    plan(demand: StepDemand): Preemption | undefined {
        const key = createKey(demand);
        if (this.keysWithoutVictims.has(key)) {
            return undefined;
        }
        const found = this.findCheapest(demand);
        if (found === undefined) {
            this.keysWithoutVictims.add(key);
        }
        else {
            this.plannedWorkerIds.set(demand.step, [...this.plannedWorkerIds.get(demand.step) ?? [], found.workerId]);
        }
        return found;
    }

    private findCheapest(demand: StepDemand): Preemption | undefined {
        const { spec, occurrence } = demand.step;
        const { priority } = occurrence.job.queue;
        const reservedIds = [...demand.reservedWorkerIds ?? [], ...this.plannedWorkerIds.get(demand.step) ?? []];
        const perWorker = countTasksPerWorker(demand.step, reservedIds);
        const isUrgent = isUrgentLongRunning(demand);
        let best: Preemption | undefined;
        let bestCost = Infinity;
        for (const worker of this.workers) {
            const isEligible = isAllowedOn(demand.step, worker)
                && !isStepLimitReached(spec, perWorker.get(worker.workerId))
                && this.isAdvised(demand.step.getTask(0), worker.workerId);
            // The work that a worker is reserved behind may take long to end, too long for an urgent task.
            const isOpen = worker.startsLeft > 0 && (!worker.isReserved || isUrgent);
            if (!isEligible || !isOpen) {
                continue;
            }
            const chosen = chooseVictims(worker, spec, priority, this.resolveVictims(worker));
            const cost = chosen === undefined ? Infinity : chosen.reduce((sum, victim) => sum + victim.cost, 0);
            if (chosen !== undefined && cost < bestCost) {
                best = { workerId: worker.workerId, victims: chosen.map(victim => victim.task) };
                bestCost = cost;
            }
        }
        return best;
    }

    private resolveVictims(worker: WorkerCapacity): WorkerVictims {
        const known = this.victimsByWorker.get(worker.workerId);
        if (known !== undefined) {
            return known;
        }
        const victims = new WorkerVictims(this.listTasks(worker.workerId));
        this.victimsByWorker.set(worker.workerId, victims);
        return victims;
    }
}

/**
 * Builds a key from everything that decides which tasks may be preempted for a demand. Steps with a limit of tasks per
 * worker or an advice service share no key, since their eligible workers differ.
 */
function createKey(demand: StepDemand): string | StepRun {
    const { spec, occurrence } = demand.step;
    const { service, priority, advice } = occurrence.job.queue;
    if (spec.maxTasksPerWorker > 0 || advice !== undefined) {
        return demand.step;
    }
    const cpuMillis = spec.isBestEffort ? "fills" : spec.cpuMillis;
    return [
        service,
        priority,
        isUrgentLongRunning(demand),
        spec.requiredLabel,
        cpuMillis,
        spec.memoryMb,
        spec.accelerators,
    ]
        .join("|");
}

/** Whether workers are reserved for a demand, which then mustn't shut it out of preemption there. */
function isUrgentLongRunning(demand: StepDemand): boolean {
    return isInterrupted(demand) || isOverdueFirstStart(demand);
}

function chooseVictims(
    worker: WorkerCapacity,
    spec: StepSpec,
    priority: number,
    workerVictims: WorkerVictims,
): Victim[] | undefined {
    let missingCpu = spec.isBestEffort ? 0 : spec.cpuMillis - worker.freeCpuMillis;
    let missingMemory = spec.memoryMb - worker.freeMemoryMb;
    let missingAccelerators = spec.accelerators - worker.freeAccelerators;
    const isMet = () => missingCpu <= 0 && missingMemory <= 0 && missingAccelerators <= 0;
    const freeable = workerVictims.getFreeableResources(priority);
    const isImpossible = missingCpu > freeable.cpuMillis || missingMemory > freeable.memoryMb
        || missingAccelerators > freeable.accelerators;
    if (isMet() || isImpossible) {
        return undefined;
    }
    const victims: Victim[] = [];
    for (const victim of workerVictims.listBelowPriority(priority)) {
        const held = victim.task.step.spec;
        const freedCpu = computeFreedCpu(held);
        const isUseful = (missingCpu > 0 && freedCpu > 0) || (missingMemory > 0 && held.memoryMb > 0)
            || (missingAccelerators > 0 && held.accelerators > 0);
        if (!isUseful) {
            continue;
        }
        victims.push(victim);
        missingCpu -= freedCpu;
        missingMemory -= held.memoryMb;
        missingAccelerators -= held.accelerators;
        if (isMet()) {
            return victims;
        }
    }
    return undefined;
}
