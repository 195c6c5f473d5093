import { describe, expect, it } from "@jest/globals";
import fc from "fast-check";
import { GrowingBuffer } from "./growingBuffer.js";

const LIMIT = 100_000;
const SEED = 20261206;

describe("GrowingBuffer", () => {
    it("returns what was added, in memory that follows the bytes and not the number of chunks", () => {
        const size = fc.oneof(fc.integer({ min: 1, max: 50 }), fc.integer({ min: 1, max: 20_000 }));
        fc.assert(
            fc.property(fc.array(size), sizes => {
                const parts = sizes.map((length, index) => Buffer.alloc(length, index));
                const body = Buffer.concat(parts);
                const buffer = new GrowingBuffer(LIMIT);
                const isWithin = parts.map(part => buffer.addChunk(part)).every(Boolean);
                expect(isWithin).toBe(body.length <= LIMIT);
                expect(buffer.capacity).toBeLessThanOrEqual(2 * body.length + 1024);
                if (isWithin) {
                    expect(buffer.getBody().equals(body)).toBe(true);
                }
            }),
            { seed: SEED },
        );
    });

    it("doesn't keep a large buffer of which a chunk is a small part", () => {
        const buffer = new GrowingBuffer(LIMIT);
        buffer.addChunk(Buffer.alloc(1_000_000).subarray(0, 5000));
        expect(buffer.capacity).toBeLessThanOrEqual(16_384);
        expect(buffer.getBody().length).toBe(5000);
    });

    it("drops all bytes of a body that exceeds the limit", () => {
        const buffer = new GrowingBuffer(LIMIT);
        buffer.addChunk(Buffer.alloc(LIMIT));
        expect(buffer.addChunk(Buffer.alloc(1))).toBe(false);
        expect(buffer.capacity).toBe(0);
    });
});
