import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import { computeFreedCpu } from "./computeFreedCpu.js";
import type { Victim } from "./victim.js";

/** Cost of stopping a task that saves no checkpoints, relative to one that does. */
const NO_CHECKPOINT_FACTOR = 10;

/** Resources that tasks hold on a worker. */
interface HeldResources {
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}

/** The tasks of one worker that may be preempted, and the resources that stopping them frees. */
export class WorkerVictims {
    /** The cheapest first. */
    private readonly victims: readonly Victim[];
    private readonly freeableByPriority = new Map<number, HeldResources>();

    constructor(tasks: Iterable<Task>) {
        const victims: Victim[] = [];
        for (const task of tasks) {
            const { spec, occurrence } = task.step;
            if (task.phase === TaskPhase.Running && !spec.longRunning && !spec.gang) {
                victims.push({ task, priority: occurrence.job.queue.priority, cost: computeCost(task) });
            }
        }
        this.victims = victims.sort((left, right) => left.cost - right.cost);
    }

    /** Lists the tasks that may be preempted for work of a priority, the cheapest first. */
    listBelowPriority(priority: number): Victim[] {
        // A task that was ordered to stop in the meantime frees its capacity anyway.
        return this.victims.filter(victim => victim.priority > priority && victim.task.phase === TaskPhase.Running);
    }

    /** Returns an upper bound of the resources that preemption for work of a priority frees. */
    getFreeableResources(priority: number): HeldResources {
        const known = this.freeableByPriority.get(priority);
        if (known !== undefined) {
            return known;
        }
        const held = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
        for (const { task, priority: own } of this.victims) {
            const { spec } = task.step;
            if (own > priority) {
                held.cpuMillis += computeFreedCpu(spec);
                held.memoryMb += spec.memoryMb;
                held.accelerators += spec.accelerators;
            }
        }
        this.freeableByPriority.set(priority, held);
        return held;
    }
}

function computeCost(task: Task): number {
    const { spec } = task.step;
    const done = (task.percent / 100) * Math.max(1, spec.estimateMs) * spec.cpuMillis;
    return 1 + done * (spec.savesProgress ? 1 : NO_CHECKPOINT_FACTOR);
}
