/** Chunks of at least this size are kept as they are, in bytes. Smaller ones are joined. */
const MIN_KEPT_BYTES = 4096;
/** Sizes of the buffers into which small chunks are joined, in bytes: the first, and the largest. */
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 16_384;

/**
 * Joins the chunks of a body, so that memory follows the bytes and not the number of chunks. Large chunks aren't copied
 * before the end: copies would be garbage many times the size of the body, outside of the heap that is collected often.
 */
export class GrowingBuffer {
    private parts: Buffer[] = [];
    /** Buffer into which small chunks are joined, and the bytes of it in use. */
    private block: Buffer | undefined;
    private blockBytes = 0;
    private length = 0;
    private keptBytes = 0;

    /** @param limit Limit of the body, in bytes. */
    constructor(private readonly limit: number) {}

    /** Bytes of memory that are used. */
    get capacity(): number {
        return this.keptBytes + (this.block?.length ?? 0);
    }

    /**
     * Adds a chunk.
     *
     * @returns Whether the body still keeps its limit; otherwise the buffer is empty from now on.
     */
    addChunk(chunk: Buffer): boolean {
        this.length += chunk.length;
        if (this.length > this.limit) {
            this.dropBytes();
            return false;
        }
        // A part of a larger buffer would keep all of it.
        const isWhole = chunk.buffer.byteLength <= chunk.length * 2;
        if (isWhole && chunk.length >= MIN_KEPT_BYTES) {
            this.finishBlock();
            this.addPart(chunk);
        }
        else if (isWhole && this.block === undefined) {
            // Most bodies are one small chunk, which is kept without a copy. It is full, so that nothing is added to it.
            this.block = chunk;
            this.blockBytes = chunk.length;
        }
        else {
            this.appendChunk(chunk);
        }
        return true;
    }

    /** Returns the body. The buffer can't be used any more. */
    getBody(): Buffer {
        this.finishBlock();
        return this.parts.length === 1 ? this.parts[0] : Buffer.concat(this.parts);
    }

    private appendChunk(chunk: Buffer): void {
        const needed = this.blockBytes + chunk.length;
        if (this.block !== undefined && needed > MAX_BLOCK_BYTES) {
            this.finishBlock();
            this.appendChunk(chunk);
            return;
        }
        if (this.block === undefined || needed > this.block.length) {
            const larger = Buffer.allocUnsafeSlow(Math.max(MIN_BLOCK_BYTES, needed, (this.block?.length ?? 0) * 2));
            this.block?.copy(larger);
            this.block = larger;
        }
        chunk.copy(this.block, this.blockBytes);
        this.blockBytes = needed;
    }

    private finishBlock(): void {
        if (this.block !== undefined) {
            this.addPart(this.block.subarray(0, this.blockBytes));
            this.block = undefined;
            this.blockBytes = 0;
        }
    }

    private addPart(part: Buffer): void {
        this.parts.push(part);
        this.keptBytes += part.buffer.byteLength;
    }

    private dropBytes(): void {
        this.parts = [];
        this.block = undefined;
        this.blockBytes = 0;
        this.keptBytes = 0;
    }
}
