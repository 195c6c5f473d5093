/** One message between our own processes. */
export interface Frame {
    /** A `FrameKind`, or the number of a kind that this build doesn't know. */
    readonly kind: number;
    /** Pairs a reply with its request on one connection. */
    readonly sequence: number;
    readonly body: unknown;
}
