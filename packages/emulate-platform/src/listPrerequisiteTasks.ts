import type { JobSpec, TaskRef } from "@sardinestage/describe-work";
import { formatTaskKey } from "@sardinestage/describe-work";

/** Lists the keys of the tasks that must be done before a task of a job may start. */
export function listPrerequisiteTasks(spec: JobSpec | undefined, task: TaskRef): string[] {
    const steps = spec?.steps ?? [];
    return (steps.at(task.step)?.dependsOn ?? []).flatMap(step =>
        Array.from(
            { length: steps[step].taskCount },
            (_unused, index) => formatTaskKey({ ...task, step, index }),
        )
    );
}
