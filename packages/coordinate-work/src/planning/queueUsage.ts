import type { QueueConfig } from "@sardinestage/describe-work";
import { TaskPhase } from "@sardinestage/track-jobs";
import type { TrackedWorker } from "../workers/trackedWorker.js";
import type { CpuUsage } from "./cpuUsage.js";
import { formatShareGroup } from "./formatShareGroup.js";
import type { GroupUsage } from "./groupUsage.js";

/**
 * The tasks of a worker are counted again after this, in milliseconds, even if their number is the same: one may have
 * started as another one ended. To count all tasks of a large fleet in each round would cost more than the round.
 */
const MAX_AGE_MS = 500;

/** What the tasks of one worker add to the use of one queue. */
interface CountedUse extends CpuUsage {
    readonly total: CpuUsage;
}

/** The tasks of one worker when they were last counted. */
interface CountedWorker {
    readonly taskCount: number;
    readonly countedAtMs: number;
    readonly uses: readonly CountedUse[];
    seenAtMs: number;
}

/** Counts the capacity that each queue's tasks use. Examines only workers whose number of tasks has changed. */
export class QueueUsage {
    private readonly groups = new Map<string, GroupUsage & { readonly queues: Map<string, CpuUsage> }>();
    private readonly counted = new Map<TrackedWorker, CountedWorker>();

    /** Updates the counts. */
    refresh(workers: Iterable<TrackedWorker>, nowMs: number): void {
        let workerCount = 0;
        for (const worker of workers) {
            workerCount++;
            const known = this.counted.get(worker);
            if (known?.taskCount === worker.tasks.size && nowMs - known.countedAtMs < MAX_AGE_MS) {
                known.seenAtMs = nowMs;
            }
            else {
                this.removeUses(known);
                this.counted.set(worker, this.collectUses(worker, nowMs));
            }
        }
        if (this.counted.size > workerCount) {
            this.removeUnseen(nowMs);
        }
    }

    /** Lists what the queues use, by the names of the groups. */
    listGroups(): Iterable<readonly [string, GroupUsage]> {
        return this.groups;
    }

    /** Counts the running and ordered tasks of a worker. */
    private collectUses(worker: TrackedWorker, nowMs: number): CountedWorker {
        const uses = new Map<CpuUsage, CountedUse>();
        for (const { phase, step } of worker.tasks) {
            if (phase === TaskPhase.Ordered || phase === TaskPhase.Running) {
                const total = this.resolveTotal(step.occurrence.job.queue);
                const use = uses.get(total) ?? { total, usedCpuMillis: 0, heldCpuMillis: 0 };
                uses.set(total, use);
                const { cpuMillis, longRunning } = step.spec;
                use.usedCpuMillis += cpuMillis;
                use.heldCpuMillis += longRunning ? cpuMillis : 0;
            }
        }
        for (const { total, usedCpuMillis, heldCpuMillis } of uses.values()) {
            total.usedCpuMillis += usedCpuMillis;
            total.heldCpuMillis += heldCpuMillis;
        }
        return { taskCount: worker.tasks.size, countedAtMs: nowMs, seenAtMs: nowMs, uses: [...uses.values()] };
    }

    private removeUses(counted: CountedWorker | undefined): void {
        counted?.uses.forEach(({ total, usedCpuMillis, heldCpuMillis }) => {
            total.usedCpuMillis -= usedCpuMillis;
            total.heldCpuMillis -= heldCpuMillis;
        });
    }

    /** Forgets the workers that are gone. */
    private removeUnseen(nowMs: number): void {
        for (const [worker, counted] of this.counted) {
            if (counted.seenAtMs !== nowMs) {
                this.removeUses(counted);
                this.counted.delete(worker);
            }
        }
    }

    private resolveTotal(queue: QueueConfig): CpuUsage {
        const name = formatShareGroup(queue);
        const { service, priority } = queue;
        const group = this.groups.get(name) ?? { service, priority, queues: new Map<string, CpuUsage>() };
        this.groups.set(name, group);
        const total = group.queues.get(queue.name) ?? { usedCpuMillis: 0, heldCpuMillis: 0 };
        group.queues.set(queue.name, total);
        return total;
    }
}
