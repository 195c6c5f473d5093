/** How a process ends; one code a cause, so that a supervisor can tell them apart. */
export enum ExitCode {
    Success = 0,
    InternalError = 1,
    InvalidSettings = 3,
    PortInUse = 4,
    StartRefused = 5,
}
