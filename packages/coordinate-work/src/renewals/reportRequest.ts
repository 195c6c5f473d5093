/** The call that a worker's report answers. */
export interface ReportRequest {
    /** When the call was sent, in steady milliseconds. */
    readonly sentAtMs: number;
    /** When the report arrived, in steady milliseconds. */
    readonly receivedAtMs: number;
    /** The fencing token of the call. */
    readonly fence: number;
}
