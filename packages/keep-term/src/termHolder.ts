/** Who coordinates in a term. */
export interface TermHolder {
    /** Offset of the record that won, plus one: unique, rising, and the fencing token of all orders. */
    readonly term: number;
    /** Name of the VM. */
    readonly vm: string;
    /** Chosen anew by each process, so that a restarted process doesn't take itself for its predecessor. */
    readonly incarnation: string;
    /** Where its peers reach it. */
    readonly host: string;
    readonly port: number;
    /** How much work the VM can do: its share of cores of usual speed. */
    readonly strength: number;
}
