/** Sees only what the workers saw, and writes down each broken promise. */
export class OwnershipOracle {
    readonly violations: string[] = [];
    /** Tasks that came to their end on a worker that was then lost or given up; their result may be lost with it. */
    private readonly excused = new Set<string>();
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
        if (this.completedOn.has(taskId) && !this.excused.has(taskId)) {
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

    /** A worker died or an operator gave it up. */
    recordGivenUp(worker: string): void {
        for (const [taskId, on] of this.completedOn) {
            if (on === worker) {
                this.excused.add(taskId);
            }
        }
    }
}
