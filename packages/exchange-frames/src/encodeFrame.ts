import { Encoder } from "cbor-x";
import type { Frame } from "./frame.js";
import { FRAME_VERSION } from "./frameLimits.js";

const HEADER_BYTES = 4;
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });

/**
 * Encodes a frame: a length of 4 bytes (big-endian, counting all bytes after these 4), a version of 1 byte, then CBOR
 * `[kind, sequence, body]`.
 *
 * @param frame The message to encode.
 * @returns The bytes to write to the connection.
 */
export function encodeFrame(frame: Frame): Buffer {
    const payload = encoder.encode([frame.kind, frame.sequence, frame.body]);
    const bytes = Buffer.allocUnsafe(HEADER_BYTES + 1 + payload.length);
    bytes.writeUInt32BE(payload.length + 1, 0);
    bytes.writeUInt8(FRAME_VERSION, HEADER_BYTES);
    payload.copy(bytes, HEADER_BYTES + 1);
    return bytes;
}
