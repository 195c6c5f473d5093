/**
 * Creates a batch task in the form in which an operator submits it.
 *
 * @param workMs Run time at full speed, in milliseconds.
 * @param overrides Fields that replace or extend the defaults.
 */
export function createBatchTask(taskId: string, workMs: number, overrides: object = {}): object {
    return {
        taskId,
        team: "plans",
        urgency: 1,
        taskClass: "plan",
        size: { cpuMillis: 2_000, memoryMb: 2_000, slots: 1 },
        expectedRunMs: workMs,
        payload: JSON.stringify({ workMs }),
        ...overrides,
    };
}
