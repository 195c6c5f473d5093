import { ErrorKind, StageError } from "@sardinestage/errors";
import { Decoder } from "cbor-x";
import type { Result } from "ts-results";
import tsResults from "ts-results";
import type { Frame } from "./frame.js";
import { FRAME_VERSION } from "./frameLimits.js";

const { Err, Ok } = tsResults;
const HEADER_BYTES = 4;
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Cuts a byte stream into frames; holds at most one frame's bytes plus one chunk. */
export class FrameReader {
    private pending: Buffer = Buffer.alloc(0);

    /** @param maxFrameBytes A longer frame is an error, found before its bytes are kept. */
    constructor(private readonly maxFrameBytes: number) {}

    /**
     * Takes the next bytes.
     *
     * @param chunk Bytes as they came.
     * @returns The frames that are now whole, or why the connection can't go on.
     */
    takeChunk(chunk: Buffer): Result<Frame[], StageError> {
        this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
        const frames: Frame[] = [];
        while (this.pending.length >= HEADER_BYTES) {
            const length = this.pending.readUInt32BE(0);
            if (length > this.maxFrameBytes) {
                return Err(createFrameError(ErrorKind.FrameTooLarge, `A frame of ${length} bytes is over the limit.`));
            }
            if (this.pending.length < HEADER_BYTES + length) {
                break;
            }
            const frame = decodeFrame(this.pending.subarray(HEADER_BYTES, HEADER_BYTES + length));
            if (frame.err) {
                return frame;
            }
            frames.push(frame.val);
            this.pending = this.pending.subarray(HEADER_BYTES + length);
        }
        return Ok(frames);
    }
}

function decodeFrame(bytes: Buffer): Result<Frame, StageError> {
    if (bytes.length < 2 || bytes.readUInt8(0) !== FRAME_VERSION) {
        return Err(createFrameError(ErrorKind.FrameInvalid, "A frame has a version that this build doesn't speak."));
    }
    try {
        const parts: unknown = decoder.decode(bytes.subarray(1));
        if (Array.isArray(parts) && Number.isInteger(parts[0]) && Number.isInteger(parts[1])) {
            return Ok({ kind: parts[0] as number, sequence: parts[1] as number, body: parts[2] as unknown });
        }
    }
    catch {
        // What can't be decoded is reported below like any other malformed frame.
    }
    return Err(createFrameError(ErrorKind.FrameInvalid, "A frame holds no message."));
}

function createFrameError(kind: ErrorKind, problem: string): StageError {
    return new StageError(kind, problem, "Check that both ends run builds that speak the same version.");
}
