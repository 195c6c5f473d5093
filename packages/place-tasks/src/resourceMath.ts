import type { Resources } from "@sardinestage/types";

const NONE: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 };

/** Arithmetic and comparison of resources, applied to each resource separately. */
export const resourceMath = {
    none: NONE,
    add: (a: Resources, b: Resources): Resources => computeEach(a, b, (x, y) => x + y),
    subtract: (a: Resources, b: Resources): Resources => computeEach(a, b, (x, y) => x - y),
    max: (a: Resources, b: Resources): Resources => computeEach(a, b, Math.max),
    fits: (need: Resources, available: Resources): boolean =>
        need.cpuMillis <= available.cpuMillis
        && need.memoryMb <= available.memoryMb
        && need.accelerators <= available.accelerators
        && need.slots <= available.slots,
};

function computeEach(a: Resources, b: Resources, operate: (x: number, y: number) => number): Resources {
    return {
        cpuMillis: operate(a.cpuMillis, b.cpuMillis),
        memoryMb: operate(a.memoryMb, b.memoryMb),
        accelerators: operate(a.accelerators, b.accelerators),
        slots: operate(a.slots, b.slots),
    };
}
