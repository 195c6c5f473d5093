/** A batch task as an operator submits it. */
export function createBatchTask(taskId: string, workMs: number, changes: object = {}): object {
    return {
        taskId,
        team: "plans",
        urgency: 1,
        taskClass: "plan",
        size: { cpuMillis: 2_000, memoryMb: 2_000, slots: 1 },
        expectedRunMs: workMs,
        payload: JSON.stringify({ workMs }),
        ...changes,
    };
}
