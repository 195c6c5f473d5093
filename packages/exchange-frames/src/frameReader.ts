import { ErrorKind, StageError } from "@sardinestage/errors";
import { Decoder } from "cbor-x";
import type { Result } from "ts-results";
import tsResults from "ts-results";
import type { Frame } from "./frame.js";
import { FRAME_VERSION } from "./frameLimits.js";

const { Err, Ok } = tsResults;
const HEADER_BYTES = 4;
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Splits a byte stream into frames. Buffers at most one incomplete frame and one chunk. */
export class FrameReader {
    private pending: Buffer = Buffer.alloc(0);
    private isFirst = true;

    /**
     * @param maxFrameBytes Largest frame accepted; a longer one is refused before its bytes are buffered.
     * @param maxFirstFrameBytes The same for the first frame, which may come from an unknown sender.
     */
    constructor(private readonly maxFrameBytes: number, private readonly maxFirstFrameBytes = maxFrameBytes) {}

    /**
     * Adds the next bytes of the stream and returns the frames that they complete.
     *
     * @param chunk The bytes as they were received.
     * @returns The completed frames, or `FrameTooLarge` or `FrameInvalid`, after which the connection has to be closed.
     */
    readFrames(chunk: Buffer): Result<Frame[], StageError> {
        this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
        const frames: Frame[] = [];
        while (this.pending.length >= HEADER_BYTES) {
            const length = this.pending.readUInt32BE(0);
            if (length > (this.isFirst ? this.maxFirstFrameBytes : this.maxFrameBytes)) {
                return Err(createFrameError(ErrorKind.FrameTooLarge, `A frame of ${length} bytes exceeds the limit.`));
            }
            if (this.pending.length < HEADER_BYTES + length) {
                break;
            }
            const frame = decodeFrame(this.pending.subarray(HEADER_BYTES, HEADER_BYTES + length));
            if (frame.err) {
                return frame;
            }
            frames.push(frame.val);
            this.isFirst = false;
            this.pending = this.pending.subarray(HEADER_BYTES + length);
        }
        return Ok(frames);
    }
}

function decodeFrame(bytes: Buffer): Result<Frame, StageError> {
    if (bytes.length < 2 || bytes.readUInt8(0) !== FRAME_VERSION) {
        return Err(createFrameError(ErrorKind.FrameInvalid, "A frame has a version that this build doesn't support."));
    }
    try {
        const fields: unknown = decoder.decode(bytes.subarray(1));
        if (Array.isArray(fields) && Number.isInteger(fields[0]) && Number.isInteger(fields[1])) {
            return Ok({ kind: fields[0] as number, sequence: fields[1] as number, body: fields[2] as unknown });
        }
    }
    catch {
        // Bytes that aren't valid CBOR are reported below like any other malformed frame.
    }
    return Err(
        createFrameError(ErrorKind.FrameInvalid, "A frame doesn't contain a kind and a sequence number."),
    );
}

function createFrameError(kind: ErrorKind, problem: string): StageError {
    return new StageError(kind, problem, "Check that both processes run builds with the same frame version.");
}
