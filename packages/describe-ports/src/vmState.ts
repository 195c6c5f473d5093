/** State of a worker's VM. */
export enum VmState {
    Up,
    Moving,
    Upkeep,
    Down,
}
