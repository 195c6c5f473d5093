import { platformSchemas } from "@sardinestage/call-platform";
import { ErrorKind, RunEffect, StageError } from "@sardinestage/errors";
import type { TaskEntry, TaskRecord } from "@sardinestage/fold-tasks";
import { TaskRecordKind } from "@sardinestage/fold-tasks";
import { resourceMath } from "@sardinestage/place-tasks";
import type { TaskSpec } from "@sardinestage/types";
import { isDeepStrictEqual } from "node:util";
import type { DomainView } from "./domainView.js";
import { findDomain } from "./findDomain.js";
import type { OperatorContext } from "./operatorContext.js";
import { waitAtMost } from "./waitAtMost.js";

const TASK_ID = /^[a-z0-9.-]+\/[\w.:-]{1,150}$/;

/** Operators' commands on batch tasks. */
export class TaskCommands {
    constructor(private readonly context: OperatorContext) {}

    /**
     * Submits a task. Submitting the same id with the same content again has no further effect.
     *
     * @throws StageError `InvalidArgument`, `IdConflict`, `TooManyPending` or `LogUnavailable`.
     */
    async submit(spec: TaskSpec): Promise<TaskEntry> {
        this.checkSpec(spec);
        const domain = findDomain(this.context, spec.taskId);
        const known = domain.stream.ledger.getTask(spec.taskId);
        if (known === undefined) {
            await this.append(domain, `submit:${spec.taskId}`, { kind: TaskRecordKind.Submit, spec });
        }
        const entry = this.findTask(domain, spec.taskId);
        if (!isDeepStrictEqual(entry.spec, spec)) {
            throw new StageError(
                ErrorKind.IdConflict,
                `Task ${spec.taskId} was submitted before with another content.`,
                "Submit under another id.",
            );
        }
        return entry;
    }

    /**
     * Requests the cancellation of a task. The task counts as cancelled only after its stop has been confirmed.
     *
     * @throws StageError `UnknownTask`, `InvalidArgument`, `TooManyPending` or `LogUnavailable`.
     */
    async cancel(taskId: string, reason: string): Promise<TaskEntry> {
        const domain = findDomain(this.context, taskId);
        const known = this.findTask(domain, taskId);
        if (!known.cancelRequested) {
            const data: TaskRecord = {
                kind: TaskRecordKind.Cancel,
                taskId,
                reason: reason || "asked for by an operator",
            };
            await this.append(domain, `cancel:${taskId}`, data);
        }
        return this.findTask(domain, taskId);
    }

    private findTask(domain: DomainView, taskId: string): TaskEntry {
        const entry = domain.stream.ledger.getTask(taskId);
        if (entry === undefined) {
            throw new StageError(ErrorKind.UnknownTask, `Task ${taskId} is not known.`, "Check the id.");
        }
        return entry;
    }

    private checkSpec(spec: TaskSpec): void {
        const checked = platformSchemas.taskSpec.safeParse(spec);
        const fault = checked.success ? undefined : checked.error.issues[0];
        if (fault !== undefined) {
            throw createInvalidTaskError(`${fault.path.join(".")}: ${fault.message}`);
        }
        if (!TASK_ID.test(spec.taskId)) {
            throw createInvalidTaskError("the id is not FAILURE-DOMAIN/NAME");
        }
        if (spec.size.cpuMillis <= 0 || spec.size.slots <= 0) {
            throw createInvalidTaskError("the task needs some processor and at least one slot");
        }
        const { teams } = this.context.config.history.getCurrent().document;
        if (!teams.some(each => each.team === spec.team)) {
            throw createInvalidTaskError(`team '${spec.team}' is not in the configuration`);
        }
        const workers = this.context.directory.listWorkers(findDomain(this.context, spec.taskId).domain);
        const fits = workers.some(vm => resourceMath.fits(spec.size, vm.capacity ?? resourceMath.none));
        if (workers.length > 0 && !fits) {
            throw createInvalidTaskError(
                "no worker of the failure domain is large enough for it, even an empty one",
            );
        }
    }

    private async append(domain: DomainView, id: string, data: TaskRecord): Promise<void> {
        const seen = domain.stream.waitForRecord(id);
        if (!domain.stream.append({ id, data })) {
            throw new StageError(
                ErrorKind.TooManyPending,
                "The platform's log has been out for so long that no more calls can be kept.",
                "Repeat the call later.",
            );
        }
        if (!await waitAtMost(seen, this.context.settings.admin.confirmMs)) {
            throw new StageError(
                ErrorKind.LogUnavailable,
                "The call was not read back from the platform's log in time.",
                "Repeat the call with the same id.",
                RunEffect.MayHaveRun,
            );
        }
    }
}

function createInvalidTaskError(fault: string): StageError {
    return new StageError(
        ErrorKind.InvalidArgument,
        `The task is refused: ${fault}.`,
        "Correct what is named.",
    );
}
