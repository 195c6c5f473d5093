import type { StepSpec } from "@sardinestage/describe-work";
import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import { isAllowedOn } from "../isAllowedOn.js";
import type { StepDemand } from "../stepDemand.js";
import type { WorkerRoom } from "../workerRoom.js";

/** Work that is lost when a task without checkpoints is stopped, against one with them. */
const NO_CHECKPOINT_FACTOR = 10;

/** What is stopped on one worker so that a task fits. */
interface Preemption {
    readonly workerId: string;
    readonly victims: readonly Task[];
}

/** The plain way to plan displacement: looks at every task of every worker for every demand. */
export function planPreemptionExhaustively(
    demand: StepDemand,
    rooms: readonly WorkerRoom[],
    listTasks: (workerId: string) => Iterable<Task>,
    isAdvised: (task: Task, workerId: string) => boolean,
): Preemption | undefined {
    const { spec, occurrence } = demand.step;
    const { priority } = occurrence.job.queue;
    let best: Preemption | undefined;
    let bestCost = Infinity;
    for (const room of rooms) {
        const isOpen = isAllowedOn(demand.step, room) && room.startsLeft > 0
            && isAdvised(demand.step.tasks[0], room.workerId);
        if (!isOpen || isLimitReached(demand, room.workerId)) {
            continue;
        }
        const victims = chooseVictims(room, spec, priority, listTasks(room.workerId));
        const cost = victims === undefined ? Infinity : computeCost(victims);
        if (victims !== undefined && cost < bestCost) {
            best = { workerId: room.workerId, victims };
            bestCost = cost;
        }
    }
    return best;
}

/** Whether as many tasks of the step as may be there are at work on a worker, or have room made for them there. */
function isLimitReached(demand: StepDemand, workerId: string): boolean {
    const { maxTasksPerWorker } = demand.step.spec;
    const there = demand.step.tasks.filter(task => task.isActive && task.workerId === workerId).length;
    const coming = (demand.promised ?? []).filter(promised => promised === workerId).length;
    return maxTasksPerWorker > 0 && there + coming >= maxTasksPerWorker;
}

function chooseVictims(
    room: WorkerRoom,
    spec: StepSpec,
    priority: number,
    tasks: Iterable<Task>,
): Task[] | undefined {
    let cpu = spec.fillsLeftover ? 0 : spec.cpuMillis - room.freeCpuMillis;
    let memory = spec.memoryMb - room.freeMemoryMb;
    let accelerators = spec.accelerators - room.freeAccelerators;
    const victims: Task[] = [];
    const candidates = [...tasks]
        .filter(task => task.phase === TaskPhase.Running && !task.step.spec.longRunning && !task.step.spec.gang)
        .filter(task => task.step.occurrence.job.queue.priority > priority)
        .sort((left, right) => computeCost([left]) - computeCost([right]));
    for (const task of candidates) {
        if (cpu <= 0 && memory <= 0 && accelerators <= 0) {
            break;
        }
        const taken = task.step.spec;
        const isOfUse = (cpu > 0 && !taken.fillsLeftover) || (memory > 0 && taken.memoryMb > 0)
            || (accelerators > 0 && taken.accelerators > 0);
        if (!isOfUse) {
            continue;
        }
        victims.push(task);
        cpu -= taken.fillsLeftover ? 0 : taken.cpuMillis;
        memory -= taken.memoryMb;
        accelerators -= taken.accelerators;
    }
    return cpu <= 0 && memory <= 0 && accelerators <= 0 && victims.length > 0 ? victims : undefined;
}

function computeCost(victims: readonly Task[]): number {
    return victims.reduce((sum, task) => sum + computeTaskCost(task), 0);
}

function computeTaskCost(task: Task): number {
    const { spec } = task.step;
    const done = (task.percent / 100) * Math.max(1, spec.estimateMs) * spec.cpuMillis;
    return 1 + done * (spec.savesProgress ? 1 : NO_CHECKPOINT_FACTOR);
}
