/** Exit codes of a process, one per cause, so that a supervisor can distinguish the causes. */
export enum ExitCode {
    Success = 0,
    InternalError = 1,
    InvalidSettings = 3,
    PortInUse = 4,
    StartRefused = 5,
}
