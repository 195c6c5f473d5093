import { afterEach, describe, expect, it } from "@jest/globals";
import { PortAllocator } from "./portAllocator.js";

const PORTS_EACH = 250;
const MORE_THAN_BLOCKS = 150;

describe("PortAllocator", () => {
    const created: PortAllocator[] = [];

    afterEach(() => created.splice(0).forEach(allocator => allocator.close()));

    function createAllocator(): PortAllocator {
        const allocator = new PortAllocator();
        created.push(allocator);
        return allocator;
    }

    describe("while others hand out ports at the same time", () => {
        // Guards against servers that can't start: tests that ran side by side were given the same ports.
        it("hands out each port once, also beyond one block", async () => {
            const allocators = [createAllocator(), createAllocator(), createAllocator()];
            const ports: number[] = [];
            for (let count = 0; count < PORTS_EACH; count++) {
                for (const allocator of allocators) {
                    ports.push(await allocator.acquirePort());
                }
            }
            expect(new Set(ports).size).toBe(ports.length);
        });
    });

    describe("after an allocator was closed", () => {
        // Guards against reservations that are kept: there would be none left after some tests.
        it("lets others hand out its ports", async () => {
            for (let count = 0; count < MORE_THAN_BLOCKS; count++) {
                const allocator = createAllocator();
                expect(await allocator.acquirePort()).toBeGreaterThan(0);
                allocator.close();
            }
        });
    });
});
