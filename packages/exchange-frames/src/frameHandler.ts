/** Answers one kind of request from a peer; what it throws becomes a failure reply. */
export type FrameHandler = (body: unknown) => Promise<unknown> | unknown;
