import { describe, expect, it } from "@jest/globals";
import { ErrorKind } from "@sardinestage/errors";
import fc from "fast-check";
import { encodeFrame } from "./encodeFrame.js";
import { FrameKind } from "./frameKind.js";
import { FrameReader } from "./frameReader.js";

const SEED = 20261204;

describe("FrameReader", () => {
    describe("when a stream is cut into arbitrary chunks", () => {
        it("yields each frame whole and in order", () => {
            fc.assert(
                fc.property(fc.array(fc.string(), { minLength: 1 }), fc.integer({ min: 1, max: 50 }), (texts, step) => {
                    const bytes = Buffer.concat(
                        texts.map((text, i) => encodeFrame({ kind: FrameKind.Reply, sequence: i, body: { text } })),
                    );
                    const reader = new FrameReader(10_000);
                    const seen: unknown[] = [];
                    for (let at = 0; at < bytes.length; at += step) {
                        seen.push(...reader.takeChunk(bytes.subarray(at, at + step)).unwrap());
                    }
                    expect(seen).toEqual(
                        texts.map((text, i) => ({ kind: FrameKind.Reply, sequence: i, body: { text } })),
                    );
                }),
                { seed: SEED },
            );
        });
    });

    describe("when the stream is hostile", () => {
        it("refuses a length over the limit before the bytes arrive", () => {
            const header = Buffer.from([0xff, 0xff, 0xff, 0xff]);
            const taken = new FrameReader(1024).takeChunk(header);
            expect(taken.err && taken.val.kind).toBe(ErrorKind.FrameTooLarge);
        });

        it("refuses arbitrary bytes with a typed error, never an exception", () => {
            fc.assert(
                fc.property(fc.uint8Array({ minLength: 2, maxLength: 60 }), noise => {
                    const bytes = Buffer.alloc(4 + noise.length);
                    bytes.writeUInt32BE(noise.length, 0);
                    Buffer.from(noise).copy(bytes, 4);
                    const taken = new FrameReader(1024).takeChunk(bytes);
                    expect(taken.ok || taken.val.kind === ErrorKind.FrameInvalid).toBe(true);
                }),
                { seed: SEED },
            );
        });
    });
});
