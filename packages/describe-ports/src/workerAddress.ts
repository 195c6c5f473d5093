/** Identifies a worker instance and the address at which it takes orders. */
export interface WorkerAddress {
    readonly id: string;
    /** `host:port`. */
    readonly address: string;
    /** The worker's failure domain. */
    readonly domain: string;
}
