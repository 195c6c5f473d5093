/** Parts of scheduling that a deployment's settings turn on. With all of them off, work is placed as in version 0.1. */
export interface SchedulingFeatures {
    /**
     * Whether capacity is planned ahead: large waiting tasks get reserved starts, smaller ones start only where they don't
     * delay these, and tasks are packed so that free capacity stays in large pieces.
     */
    readonly reservesCapacity: boolean;
    /** Whether queues of equal priority share the capacity that doesn't suffice for all of them. */
    readonly sharesCapacity: boolean;
    /** Whether copies of slow tasks are started where their step permits it. */
    readonly copiesSlowTasks: boolean;
    /** Whether a task that has only one attempt left is kept off workers that may be faulty. */
    readonly protectsLastAttempts: boolean;
    /** Whether tasks with little slack prefer workers that are neither slow nor cold. */
    readonly prefersFastWorkers: boolean;
}
