/** What a coordinator needs to know of the earlier coordinators' terms. */
export interface EarlierTermView {
    /** When their authority has certainly run out, in steady milliseconds. It may become earlier. */
    readonly actsUntilMs: number;
    /**
     * Before when they asked for every confirmation that their leases are bound by, in steady milliseconds; Infinity if
     * their leases may not be bound.
     */
    readonly confirmedBeforeMs: number;
}
