/** A request of the coordinator to a relay: calls to make, and a wait for answers to earlier calls. */
export interface RelayRequest {
    /** The coordinator's term: the fencing token of the calls that carry none of their own. */
    readonly term: number;
    /** Identifies the coordinator's session with the relay. */
    readonly session: string;
    /** Whether the request opens the session, which ends any other; such a request carries no calls. */
    readonly isOpening: boolean;
    /** When the coordinator sent the request, by its wall clock, in Unix milliseconds. */
    readonly sentAtMs: number;
    /** How long the relay gathers answers before it replies, in milliseconds. */
    readonly gatherMs: number;
    /** The payloads of the jobs whose tasks are started; the calls refer to them by index. */
    readonly payloads: readonly string[];
    /** The calls, as `encodeCall` encodes them. */
    readonly calls: readonly unknown[];
    /**
     * Workers whose kept ends are asked for, after the session has closed; such a request carries no calls. A relay of
     * an earlier version takes it for a request without calls.
     */
    readonly endsOf?: readonly string[];
}
