import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import type { RequestBody } from "./requestBody.js";

/** Bodies up to this size are buffered, so that a retry can send them again. */
const MAX_BUFFERED_BYTES = 65_536;

/**
 * Reads a request's body: a small one into memory, a large one as a stream.
 *
 * @param maxBytes Largest accepted size. If a streamed body exceeds the limit, the stream is destroyed with an error.
 * @returns The body, or `undefined` if it is over the limit or was cut off.
 */
export async function readRequestBody(request: IncomingMessage, maxBytes: number): Promise<RequestBody | undefined> {
    if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
        return undefined;
    }
    const chunks: Buffer[] = [];
    let size = 0;
    const iterator = request.iterator({ destroyOnReturn: false }) as AsyncIterableIterator<Buffer>;
    try {
        for (;;) {
            const { value, done } = await iterator.next() as IteratorResult<Buffer, undefined>;
            if (done) {
                return { isWhole: true, bytes: Buffer.concat(chunks) };
            }
            chunks.push(value);
            size += value.length;
            if (size > MAX_BUFFERED_BYTES) {
                return { isWhole: false, stream: forwardRest(request, iterator, chunks, size, maxBytes) };
            }
        }
    }
    catch {
        return undefined;
    }
}

/** Streams the chunks read so far, then the rest of the request. */
function forwardRest(
    request: IncomingMessage,
    iterator: AsyncIterableIterator<Buffer>,
    chunks: Buffer[],
    sizeSoFar: number,
    maxBytes: number,
): PassThrough {
    const stream = new PassThrough();
    let size = sizeSoFar;
    const forward = async () => {
        for (const chunk of chunks) {
            stream.write(chunk);
        }
        for await (const chunk of iterator) {
            size += chunk.length;
            if (size > maxBytes) {
                throw new Error("The body is over the limit.");
            }
            if (!stream.write(chunk)) {
                await new Promise(resolve => stream.once("drain", resolve));
            }
        }
        stream.end();
    };
    forward().catch((failure: unknown) => {
        stream.destroy(failure instanceof Error ? failure : new Error(String(failure)));
        request.resume();
    });
    return stream;
}
