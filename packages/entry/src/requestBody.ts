import type { Readable } from "node:stream";

/** A request's body: either whole in memory, so that it can be sent again, or a stream that can be sent only once. */
export type RequestBody =
    | { readonly isWhole: true; readonly bytes: Buffer }
    | { readonly isWhole: false; readonly stream: Readable };
