import type { Readable } from "node:stream";

/** A request's body: whole and repeatable, or a stream that can be sent once. */
export type RequestBody =
    | { readonly isWhole: true; readonly bytes: Buffer }
    | { readonly isWhole: false; readonly stream: Readable };
