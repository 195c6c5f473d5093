import type { TaskRef } from "@sardinestage/describe-work";
import { formatTaskKey } from "@sardinestage/describe-work";

/**
 * Sees every run begin and end, as the workers do, and notes what must never happen: two runs of a task at once, a
 * start after an end that was acknowledged as done, a start before an earlier step was done.
 */
export class RunWitness {
    readonly faults: string[] = [];
    readonly done = new Set<string>();
    private readonly acknowledged = new Set<string>();
    private readonly atWork = new Map<string, number>();

    /**
     * @param getNow Time of the test, for the messages.
     * @param listEarlier The names of the tasks that have to be done before a task.
     */
    constructor(
        private readonly getNow: () => number,
        private readonly listEarlier: (task: TaskRef) => readonly string[],
    ) {}

    /** A run begins. */
    noteStart(task: TaskRef, worker: string): void {
        const key = formatTaskKey(task);
        const count = (this.atWork.get(key) ?? 0) + 1;
        this.atWork.set(key, count);
        if (count > 1) {
            this.addFault(`${key} runs twice, now on ${worker}`);
        }
        if (this.acknowledged.has(key)) {
            this.addFault(`${key} starts on ${worker} after it was done`);
        }
        for (const earlier of this.listEarlier(task)) {
            if (!this.done.has(earlier)) {
                this.addFault(`${key} starts before ${earlier} is done`);
            }
        }
    }

    /** A run ends. */
    noteEnd(task: TaskRef, isDone: boolean): void {
        const key = formatTaskKey(task);
        this.atWork.set(key, (this.atWork.get(key) ?? 1) - 1);
        if (isDone) {
            this.done.add(key);
        }
    }

    /** A coordinator acknowledged that a run ended well. */
    noteAcknowledged(task: TaskRef): void {
        this.acknowledged.add(formatTaskKey(task));
    }

    /** How many runs are at work. */
    countAtWork(): number {
        return [...this.atWork.values()].reduce((sum, count) => sum + count, 0);
    }

    private addFault(fault: string): void {
        this.faults.push(`${Math.round(this.getNow())} ms: ${fault}`);
    }
}
