import { Encoder } from "cbor-x";
import type { Frame } from "./frame.js";
import { FRAME_VERSION } from "./frameLimits.js";

const HEADER_BYTES = 4;
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });

/**
 * Writes a frame: 4 bytes of length (big-endian, of what follows), 1 byte of version, then CBOR `[kind, sequence, body]`.
 *
 * @param frame What to send.
 * @returns The bytes.
 */
export function encodeFrame(frame: Frame): Buffer {
    const payload = encoder.encode([frame.kind, frame.sequence, frame.body]);
    const bytes = Buffer.allocUnsafe(HEADER_BYTES + 1 + payload.length);
    bytes.writeUInt32BE(payload.length + 1, 0);
    bytes.writeUInt8(FRAME_VERSION, HEADER_BYTES);
    payload.copy(bytes, HEADER_BYTES + 1);
    return bytes;
}
