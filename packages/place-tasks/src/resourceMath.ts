import type { Resources } from "@sardinestage/types";

/** Nothing at all. */
const NONE: Resources = { cpuMillis: 0, memoryMb: 0, accelerators: 0, slots: 0 };

/** Sums and comparisons of resources, each dimension apart. */
export const resourceMath = {
    none: NONE,
    add: (a: Resources, b: Resources): Resources => computeEach(a, b, (x, y) => x + y),
    subtract: (a: Resources, b: Resources): Resources => computeEach(a, b, (x, y) => x - y),
    max: (a: Resources, b: Resources): Resources => computeEach(a, b, Math.max),
    fits: (need: Resources, room: Resources): boolean =>
        need.cpuMillis <= room.cpuMillis
        && need.memoryMb <= room.memoryMb
        && need.accelerators <= room.accelerators
        && need.slots <= room.slots,
};

function computeEach(a: Resources, b: Resources, operate: (x: number, y: number) => number): Resources {
    return {
        cpuMillis: operate(a.cpuMillis, b.cpuMillis),
        memoryMb: operate(a.memoryMb, b.memoryMb),
        accelerators: operate(a.accelerators, b.accelerators),
        slots: operate(a.slots, b.slots),
    };
}
