/** Faults injected into an emulated advice service. */
export interface AdviceFaults {
    /** Whether the service answers no call; it goes on with those that have come once this ends. */
    isSilent: boolean;
    /** Whether the service refuses each call at once. */
    isRefusing: boolean;
}
