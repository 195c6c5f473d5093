/**
 * Records each violation of task ownership: two runs of a task at once, an attempt number used twice, or a start after
 * the task's completion. Knows only the starts and ends that the workers report.
 */
export class OwnershipOracle {
    readonly violations: string[] = [];
    /** Tasks that completed on a worker which was lost, unlisted or drained afterwards. Their result may be lost. */
    private readonly mayLoseResult = new Set<string>();
    private readonly running = new Map<string, string>();
    private readonly completedOn = new Map<string, string>();
    private readonly attempts = new Set<string>();

    recordStart(taskId: string, attempt: number, worker: string): void {
        const other = this.running.get(taskId);
        if (other !== undefined) {
            this.violations.push(`${taskId} started on ${worker} while it ran on ${other}`);
        }
        if (this.attempts.has(`${taskId}#${attempt}`)) {
            this.violations.push(`${taskId} attempt ${attempt} started twice, now on ${worker}`);
        }
        if (this.completedOn.has(taskId) && !this.mayLoseResult.has(taskId)) {
            this.violations.push(`${taskId} started on ${worker} after its end on ${this.completedOn.get(taskId)}`);
        }
        this.attempts.add(`${taskId}#${attempt}`);
        this.running.set(taskId, worker);
    }

    /** How many attempts of a task were started. */
    countStarts(taskId: string): number {
        return [...this.attempts].filter(each => each.startsWith(`${taskId}#`)).length;
    }

    recordEnd(taskId: string, worker: string): void {
        if (this.running.get(taskId) === worker) {
            this.running.delete(taskId);
        }
    }

    recordCompletion(taskId: string, worker: string): void {
        this.recordEnd(taskId, worker);
        this.completedOn.set(taskId, worker);
    }

    /** Notes that a worker died, left the VM list or was drained. */
    recordWorkerRemoved(worker: string): void {
        for (const [taskId, completedOn] of this.completedOn) {
            if (completedOn === worker) {
                this.mayLoseResult.add(taskId);
            }
        }
    }
}
