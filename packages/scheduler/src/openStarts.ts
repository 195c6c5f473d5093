import type { AttemptRef } from "@sardinestage/call-platform";
import { ErrorKind } from "@sardinestage/errors";

/** The starts of one task that the worker may still carry out. */
interface OpenStart {
    readonly attempt: number;
    /** How many calls may have been or may yet be carried out. */
    readonly calls: number;
}

/** Starts under a worker's current token that got no answer, so that the worker may still carry them out. */
export class OpenStarts {
    private token: number | undefined;
    private readonly starts = new Map<string, OpenStart>();

    /** Forgets the starts under earlier tokens, which the worker refuses. */
    resetForToken(token: number): void {
        if (token !== this.token) {
            this.starts.clear();
            this.token = token;
        }
    }

    /**
     * Notes that a start was sent.
     *
     * @param start The attempt.
     * @param failure Why the call failed; `undefined` when it was answered as carried out.
     */
    noteStart({ taskId, attempt }: AttemptRef, failure: ErrorKind | undefined): void {
        const known = this.starts.get(taskId);
        const isUnanswered = failure === ErrorKind.WorkerUnreachable;
        // After an answered call an earlier one without an answer can no longer be told from it by a report.
        if (isUnanswered || failure === undefined && known !== undefined) {
            this.starts.set(taskId, { attempt, calls: (known?.calls ?? 0) + 1 });
        }
    }

    /** Settles each start that was sent once and that the worker lists, which it therefore has carried out. */
    acceptReport(tasks: readonly AttemptRef[]): void {
        for (const { taskId, attempt } of tasks) {
            const open = this.starts.get(taskId);
            if (open?.attempt === attempt && open.calls === 1) {
                this.starts.delete(taskId);
            }
        }
    }

    /** The highest attempt of a task that the worker may still start; `undefined` when there is none. */
    findAttempt(taskId: string): number | undefined {
        return this.starts.get(taskId)?.attempt;
    }

    /** How many tasks have such a start. */
    getCount(): number {
        return this.starts.size;
    }
}
