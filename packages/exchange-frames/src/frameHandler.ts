/** Answers one kind of request from a peer. An error that it throws is sent back as a `Failure` frame. */
export type FrameHandler = (body: unknown) => Promise<unknown> | unknown;
