/** States of jobs that a coordinator tells a follower, or the place up to which a follower knows them. */
export interface JobFacts {
    /** The coordinator's term; versions of different terms have nothing in common. */
    readonly term: number;
    /** Version up to which the facts of the term are known; 0 if none are. */
    readonly version: number;
    /** The states that changed after the version asked for, written by `encodeJobFacts`; undefined if none did. */
    readonly rows?: Uint8Array;
    /** Whether the coordinator knows all jobs, and no newer fact than these. */
    readonly isComplete?: boolean;
}
