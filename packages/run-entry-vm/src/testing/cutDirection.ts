/** Which connections a cut of a zone prevents. */
export enum CutDirection {
    /** Those that are opened from the zone, and those that are opened to it. */
    Both,
    /** Those that are opened from other zones. */
    Inbound,
    /** Those that are opened from the zone. */
    Outbound,
}
