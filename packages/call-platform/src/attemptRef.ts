/** Identifies one attempt of a task. */
export interface AttemptRef {
    readonly taskId: string;
    readonly attempt: number;
}
