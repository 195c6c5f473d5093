/** One message between two processes of an installation. */
export interface Frame {
    /** A `FrameKind`, or a number that this build doesn't know. */
    readonly kind: number;
    /** Matches a reply to its request; unique within one connection. */
    readonly sequence: number;
    readonly body: unknown;
}
