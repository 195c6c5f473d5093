import type { MessageInitShape } from "@bufbuild/protobuf";
import type { TaskEntry } from "@sardinestage/fold-tasks";
import type { Task, TaskStatusSchema } from "@sardinestage/operator-rpc";
import type { TaskSpec } from "@sardinestage/types";
import { WorkKind } from "@sardinestage/types";
import { convertConfig } from "./convertConfig.js";

/** Converts between the messages of the operators' API and the types of tasks. */
export const convertTask = {
    fromMessage: (task: Task): TaskSpec => ({
        taskId: task.taskId,
        team: task.team,
        kind: WorkKind.Batch,
        urgency: task.urgency,
        taskClass: task.taskClass,
        size: convertConfig.resourcesFromMessage(task.size),
        expectedRunMs: task.expectedRunMs,
        payload: task.payload,
    }),
    toMessage: (entry: TaskEntry): MessageInitShape<typeof TaskStatusSchema> => {
        const { spec, phase, worker, lastAttempt, cancelRequested, reason, submittedAtMs, changedAtMs } = entry;
        return {
            task: { ...spec },
            phase,
            kind: spec.kind,
            worker,
            lastAttempt,
            cancelRequested,
            reason,
            submittedAtMs: BigInt(Math.round(submittedAtMs)),
            changedAtMs: BigInt(Math.round(changedAtMs)),
        };
    },
};
