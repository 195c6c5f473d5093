/** Role of a VM in the platform's list. */
export enum VmRole {
    Entry = "entry",
    Worker = "worker",
}
