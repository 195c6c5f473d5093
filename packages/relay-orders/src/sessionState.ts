/** State of a session with a relay. */
export enum SessionState {
    /** The relay hasn't answered yet; it takes no calls. */
    Opening,
    /** The relay takes calls. */
    Open,
    /** The relay takes no further calls; those under way are still answered. */
    Draining,
    /** The relay failed or was given up. */
    Closed,
}
