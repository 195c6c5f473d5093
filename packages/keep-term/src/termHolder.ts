/** The process that is the coordinator in a term. */
export interface TermHolder {
    /** Offset of the record that won the term, plus one: unique, increasing, and the fencing token of all orders. */
    readonly term: number;
    /** Name of the VM that runs the process. */
    readonly vm: string;
    /** Id of this start of the process, so that a restarted process doesn't mistake itself for its predecessor. */
    readonly incarnation: string;
    /** Host name or address at which peers reach the process. */
    readonly host: string;
    /** Port at which peers reach the process. */
    readonly port: number;
    /** Computing power of the VM, in cores of usual speed that the VM may use. */
    readonly strength: number;
}
