/** A pool of workers, as the operator configures it. */
export interface ServiceConfig {
    readonly name: string;
    /** Whether the workers refuse by themselves what doesn't fit. */
    readonly enforcesCapacity: boolean;
    /** Whether the pool's VMs are off and unpaid until they are moved. */
    readonly spare: boolean;
}
