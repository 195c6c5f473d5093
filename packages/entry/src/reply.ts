import type { RefusalReason } from "@sardinestage/admit-requests";
import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";

/** The reply to a caller: a target's response, or a refusal. */
export type Reply =
    | {
        readonly isAnswer: true;
        readonly status: number;
        readonly headers: IncomingHttpHeaders;
        /** The whole body, or its beginning if `rest` is set. */
        readonly bytes: Buffer;
        /** Stream of the rest of a body that is too large to buffer. */
        readonly rest?: Readable;
    }
    | { readonly isAnswer: false; readonly reason: RefusalReason; readonly detail?: string };
