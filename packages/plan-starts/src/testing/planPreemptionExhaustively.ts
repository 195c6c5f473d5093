import type { StepSpec } from "@sardinestage/describe-work";
import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import { isAllowedOn } from "../isAllowedOn.js";
import { isInterrupted } from "../isInterrupted.js";
import { isOverdueFirstStart } from "../isOverdueFirstStart.js";
import type { StepDemand } from "../stepDemand.js";
import type { WorkerCapacity } from "../workerCapacity.js";

/** Cost of stopping a task that saves no checkpoints, relative to one that does. */
const NO_CHECKPOINT_FACTOR = 10;

/** The tasks to stop on one worker so that a task of higher priority fits. */
interface Preemption {
    readonly workerId: string;
    readonly victims: readonly Task[];
}

/** Reference implementation of preemption planning: checks every task of every worker for every demand. */
export function planPreemptionExhaustively(
    demand: StepDemand,
    workers: readonly WorkerCapacity[],
    listTasks: (workerId: string) => Iterable<Task>,
    isAdvised: (task: Task, workerId: string) => boolean,
): Preemption | undefined {
    const { spec, occurrence } = demand.step;
    const { priority } = occurrence.job.queue;
    let best: Preemption | undefined;
    let bestCost = Infinity;
    for (const worker of workers) {
        const isEligible = isAllowedOn(demand.step, worker) && worker.startsLeft > 0
            && (!worker.isReserved || isInterrupted(demand) || isOverdueFirstStart(demand))
            && isAdvised(demand.step.tasks[0], worker.workerId);
        if (!isEligible || isLimitReached(demand, worker.workerId)) {
            continue;
        }
        const victims = chooseVictims(worker, spec, priority, listTasks(worker.workerId));
        const cost = victims === undefined ? Infinity : computeCost(victims);
        if (victims !== undefined && cost < bestCost) {
            best = { workerId: worker.workerId, victims };
            bestCost = cost;
        }
    }
    return best;
}

/** Whether the step's active tasks and reservations on a worker reach its limit of tasks per worker. */
function isLimitReached(demand: StepDemand, workerId: string): boolean {
    const { maxTasksPerWorker } = demand.step.spec;
    const activeCount = demand.step.tasks.filter(task => task.isActive && task.workerId === workerId).length;
    const reservedCount = (demand.reservedWorkerIds ?? []).filter(reservedId => reservedId === workerId).length;
    return maxTasksPerWorker > 0 && activeCount + reservedCount >= maxTasksPerWorker;
}

function chooseVictims(
    worker: WorkerCapacity,
    spec: StepSpec,
    priority: number,
    tasks: Iterable<Task>,
): Task[] | undefined {
    let missingCpu = spec.isBestEffort ? 0 : spec.cpuMillis - worker.freeCpuMillis;
    let missingMemory = spec.memoryMb - worker.freeMemoryMb;
    let missingAccelerators = spec.accelerators - worker.freeAccelerators;
    const victims: Task[] = [];
    const candidates = [...tasks]
        .filter(task => task.phase === TaskPhase.Running && !task.step.spec.longRunning && !task.step.spec.gang)
        .filter(task => task.step.occurrence.job.queue.priority > priority)
        .sort((left, right) => computeCost([left]) - computeCost([right]));
    for (const task of candidates) {
        if (missingCpu <= 0 && missingMemory <= 0 && missingAccelerators <= 0) {
            break;
        }
        const held = task.step.spec;
        const isUseful = (missingCpu > 0 && !held.isBestEffort) || (missingMemory > 0 && held.memoryMb > 0)
            || (missingAccelerators > 0 && held.accelerators > 0);
        if (!isUseful) {
            continue;
        }
        victims.push(task);
        missingCpu -= held.isBestEffort ? 0 : held.cpuMillis;
        missingMemory -= held.memoryMb;
        missingAccelerators -= held.accelerators;
    }
    return missingCpu <= 0 && missingMemory <= 0 && missingAccelerators <= 0 && victims.length > 0
        ? victims
        : undefined;
}

function computeCost(victims: readonly Task[]): number {
    return victims.reduce((sum, task) => sum + computeTaskCost(task), 0);
}

function computeTaskCost(task: Task): number {
    const { spec } = task.step;
    const done = (task.percent / 100) * Math.max(1, spec.estimateMs) * spec.cpuMillis;
    return 1 + done * (spec.savesProgress ? 1 : NO_CHECKPOINT_FACTOR);
}
