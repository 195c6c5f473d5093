import type { StepSpec } from "@sardinestage/describe-work";
import type { StepRun, Task } from "@sardinestage/track-jobs";
import { computeFreedCpu } from "./computeFreedCpu.js";
import { countTasksPerWorker } from "./countTasksPerWorker.js";
import type { Displacement } from "./displacement.js";
import { isAllowedOn } from "./isAllowedOn.js";
import { isStepLimitReached } from "./isStepLimitReached.js";
import type { StepDemand } from "./stepDemand.js";
import type { Victim } from "./victim.js";
import type { WorkerRoom } from "./workerRoom.js";
import { WorkerVictims } from "./workerVictims.js";

/**
 * Decides within one round what gives way to demands that found no room. Answers urgent work that meets a fleet full
 * of patient work. What may give way on a worker is summed up once, and a demand whose like found nobody isn't looked
 * at again: a round's stops only make fewer that may give way.
 */
export class DisplacementPlanner {
    private readonly victimsByWorker = new Map<string, WorkerVictims>();
    private readonly keysWithoutVictims = new Set<string | StepRun>();
    /** The workers on which room is made for a step, one entry a task. */
    private readonly plannedWorkerIds = new Map<StepRun, string[]>();

    /**
     * @param rooms What the workers have left.
     * @param listTasks The tasks that run on a worker.
     * @param isAdvised Whether the advice service, where the queue has one, lets the task run there.
     */
    constructor(
        private readonly rooms: readonly WorkerRoom[],
        private readonly listTasks: (workerId: string) => Iterable<Task>,
        private readonly isAdvised: (task: Task, workerId: string) => boolean,
    ) {}

    /**
     * Chooses what gives way to one task of a demand: the cheapest set of tasks of lower priority on one worker.
     *
     * @returns Undefined when nobody may give way.
     */
    plan(demand: StepDemand): Displacement | undefined {
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

    private findCheapest(demand: StepDemand): Displacement | undefined {
        const { spec, occurrence } = demand.step;
        const { priority } = occurrence.job.queue;
        const coming = [...demand.promised ?? [], ...this.plannedWorkerIds.get(demand.step) ?? []];
        const perWorker = countTasksPerWorker(demand.step, coming);
        let best: Displacement | undefined;
        let bestCost = Infinity;
        for (const room of this.rooms) {
            const isOpen = isAllowedOn(demand.step, room) && !isStepLimitReached(spec, perWorker.get(room.workerId))
                && this.isAdvised(demand.step.tasks[0], room.workerId);
            if (!isOpen || room.startsLeft <= 0) {
                continue;
            }
            const chosen = chooseVictims(room, spec, priority, this.resolveVictims(room));
            const cost = chosen === undefined ? Infinity : chosen.reduce((sum, victim) => sum + victim.cost, 0);
            if (chosen !== undefined && cost < bestCost) {
                best = { workerId: room.workerId, victims: chosen.map(victim => victim.task) };
                bestCost = cost;
            }
        }
        return best;
    }

    private resolveVictims(room: WorkerRoom): WorkerVictims {
        const known = this.victimsByWorker.get(room.workerId);
        if (known !== undefined) {
            return known;
        }
        const victims = new WorkerVictims(this.listTasks(room.workerId));
        this.victimsByWorker.set(room.workerId, victims);
        return victims;
    }
}

/** Names all that decides who may give way to a demand; a step with conditions of its own stands for itself. */
function createKey(demand: StepDemand): string | StepRun {
    const { spec, occurrence } = demand.step;
    const { service, priority, advice } = occurrence.job.queue;
    if (spec.maxTasksPerWorker > 0 || advice !== undefined) {
        return demand.step;
    }
    const cpuMillis = spec.fillsLeftover ? "fills" : spec.cpuMillis;
    return [service, priority, spec.requiredLabel, cpuMillis, spec.memoryMb, spec.accelerators].join("|");
}

function chooseVictims(
    room: WorkerRoom,
    spec: StepSpec,
    priority: number,
    roomVictims: WorkerVictims,
): Victim[] | undefined {
    let cpu = spec.fillsLeftover ? 0 : spec.cpuMillis - room.freeCpuMillis;
    let memory = spec.memoryMb - room.freeMemoryMb;
    let accelerators = spec.accelerators - room.freeAccelerators;
    const isMet = () => cpu <= 0 && memory <= 0 && accelerators <= 0;
    const freeable = roomVictims.getFreeableResources(priority);
    const isInVain = cpu > freeable.cpuMillis || memory > freeable.memoryMb || accelerators > freeable.accelerators;
    if (isMet() || isInVain) {
        return undefined;
    }
    const victims: Victim[] = [];
    for (const victim of roomVictims.listBelowPriority(priority)) {
        const taken = victim.task.step.spec;
        const freedCpu = computeFreedCpu(taken);
        const isOfUse = (cpu > 0 && freedCpu > 0) || (memory > 0 && taken.memoryMb > 0)
            || (accelerators > 0 && taken.accelerators > 0);
        if (!isOfUse) {
            continue;
        }
        victims.push(victim);
        cpu -= freedCpu;
        memory -= taken.memoryMb;
        accelerators -= taken.accelerators;
        if (isMet()) {
            return victims;
        }
    }
    return undefined;
}
