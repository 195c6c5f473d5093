import { describe, expect, it } from "@jest/globals";
import { ErrorKind } from "@sardinestage/errors";
import fc from "fast-check";
import { encodeFrame } from "./encodeFrame.js";
import { FrameKind } from "./frameKind.js";
import { FrameReader } from "./frameReader.js";

const SEED = 20261204;

describe("FrameReader", () => {
    describe("when a stream is cut into arbitrary chunks", () => {
        it("returns every frame complete and in order", () => {
            fc.assert(
                fc.property(fc.array(fc.string(), { minLength: 1 }), fc.integer({ min: 1, max: 50 }), (texts, step) => {
                    const bytes = Buffer.concat(
                        texts.map((text, i) => encodeFrame({ kind: FrameKind.Reply, sequence: i, body: { text } })),
                    );
                    const reader = new FrameReader(10_000);
                    const frames: unknown[] = [];
                    for (let start = 0; start < bytes.length; start += step) {
                        frames.push(...reader.readFrames(bytes.subarray(start, start + step)).unwrap());
                    }
                    expect(frames).toEqual(
                        texts.map((text, i) => ({ kind: FrameKind.Reply, sequence: i, body: { text } })),
                    );
                }),
                { seed: SEED },
            );
        });
    });

    describe("when the stream is malformed or hostile", () => {
        it("refuses a length over the limit before the frame's bytes arrive", () => {
            const header = Buffer.from([0xff, 0xff, 0xff, 0xff]);
            const result = new FrameReader(1024).readFrames(header);
            expect(result.err && result.val.kind).toBe(ErrorKind.FrameTooLarge);
        });

        it("decodes arbitrary bytes or refuses them with a typed error, and never throws", () => {
            fc.assert(
                fc.property(fc.uint8Array({ minLength: 2, maxLength: 60 }), content => {
                    const bytes = Buffer.alloc(4 + content.length);
                    bytes.writeUInt32BE(content.length, 0);
                    Buffer.from(content).copy(bytes, 4);
                    const result = new FrameReader(1024).readFrames(bytes);
                    expect(result.ok || result.val.kind === ErrorKind.FrameInvalid).toBe(true);
                }),
                { seed: SEED },
            );
        });
    });
});
