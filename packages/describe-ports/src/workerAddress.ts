/** Where one life of a worker takes orders. */
export interface WorkerAddress {
    readonly id: string;
    /** `host:port`. */
    readonly address: string;
}
