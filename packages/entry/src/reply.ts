import type { RefusalReason } from "@sardinestage/admit-requests";
import type { IncomingHttpHeaders } from "node:http";
import type { Readable } from "node:stream";

/** What a caller is answered. */
export type Reply =
    | {
        readonly isAnswer: true;
        readonly status: number;
        readonly headers: IncomingHttpHeaders;
        /** The whole body, or its beginning when there is a stream. */
        readonly bytes: Buffer;
        /** The rest of a body that is too large to be kept. */
        readonly rest?: Readable;
    }
    | { readonly isAnswer: false; readonly reason: RefusalReason; readonly detail?: string };
