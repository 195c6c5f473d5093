import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

const UINT32_RANGE = 0x1_0000_0000;

/** Creates a deterministic generator of numbers from 0 to 1 for a seed. */
export function createRandom(seed: number): () => number {
    const generator = xoroshiro128plus(seed);
    return () => (generator.next() >>> 0) / UINT32_RANGE;
}
