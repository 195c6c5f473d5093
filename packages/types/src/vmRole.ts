/** What a VM in the platform's list is for. */
export enum VmRole {
    Entry = "entry",
    Worker = "worker",
}
