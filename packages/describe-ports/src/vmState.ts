/** What a worker's VM is doing. */
export enum VmState {
    Up,
    Moving,
    Upkeep,
    Down,
}
