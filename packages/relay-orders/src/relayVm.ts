/** A VM that can relay calls. */
export interface RelayVm {
    readonly vm: string;
    /** Id of this start of the VM's process. */
    readonly incarnation: string;
    readonly host: string;
    /** Port for other VMs. */
    readonly port: number;
    /** Computing power of the VM, in cores of usual speed. */
    readonly strength: number;
    /** The VM's failure domain; undefined if its build can't relay. */
    readonly domain?: string;
}
