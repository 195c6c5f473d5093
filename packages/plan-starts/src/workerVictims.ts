import type { Task } from "@sardinestage/track-jobs";
import { TaskPhase } from "@sardinestage/track-jobs";
import { computeFreedCpu } from "./computeFreedCpu.js";
import type { Victim } from "./victim.js";

/** Work that is lost when a task without checkpoints is stopped, against one with them. */
const NO_CHECKPOINT_FACTOR = 10;

/** What tasks hold of a worker. */
interface HeldResources {
    readonly cpuMillis: number;
    readonly memoryMb: number;
    readonly accelerators: number;
}

/** The tasks of one worker that may give way, and what stopping them would free. */
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

    /** Those that may give way to work of a priority, the cheapest first. */
    listBelowPriority(priority: number): Victim[] {
        // Whoever was told to stop meanwhile frees its room anyway.
        return this.victims.filter(victim => victim.priority > priority && victim.task.phase === TaskPhase.Running);
    }

    /** What those hold that may give way to work of a priority; at most so much comes free. */
    getFreeableResources(priority: number): HeldResources {
        const known = this.freeableByPriority.get(priority);
        if (known !== undefined) {
            return known;
        }
        const holding = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
        for (const { task, priority: own } of this.victims) {
            const { spec } = task.step;
            if (own > priority) {
                holding.cpuMillis += computeFreedCpu(spec);
                holding.memoryMb += spec.memoryMb;
                holding.accelerators += spec.accelerators;
            }
        }
        this.freeableByPriority.set(priority, holding);
        return holding;
    }
}

function computeCost(task: Task): number {
    const { spec } = task.step;
    const done = (task.percent / 100) * Math.max(1, spec.estimateMs) * spec.cpuMillis;
    return 1 + done * (spec.savesProgress ? 1 : NO_CHECKPOINT_FACTOR);
}
