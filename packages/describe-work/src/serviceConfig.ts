/** A service, that is a pool of workers, as the operator configures it. */
export interface ServiceConfig {
    readonly name: string;
    /** Whether the workers themselves refuse tasks that exceed their free capacity. */
    readonly enforcesCapacity: boolean;
    /** Whether the service's VMs stay switched off, and cost nothing, until they are moved to another service. */
    readonly spare: boolean;
}
