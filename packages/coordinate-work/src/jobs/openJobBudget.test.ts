import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import type { JobOrigin } from "@sardinestage/describe-work";
import { VirtualClock } from "@sardinestage/emulate-platform";
import { OpenJobBudget } from "./openJobBudget.js";

const MAX_BYTES = 1_000_000;
const LARGE_BYTES = 200_000;
const SMALL_BYTES = 5000;
/** Longer than a job that was admitted may take to be read from the store, in milliseconds. */
const EXPIRED_MS = 20_000;

function createBudget() {
    const clock = new VirtualClock();
    const metrics = new Metrics();
    return { clock, metrics, budget: new OpenJobBudget({ clock, metrics }, MAX_BYTES) };
}

// Guards against a coordinator whose heap fills up with accepted jobs, and against one that refuses jobs for ever.
describe("OpenJobBudget", () => {
    describe("when large jobs have used it up", () => {
        function createFullBudget() {
            const created = createBudget();
            const admitted = Array.from(
                { length: 10 },
                (_unused, index) => created.budget.tryReserving(`large-${index}`, LARGE_BYTES),
            );
            return { ...created, admitted };
        }

        it("refuses further large jobs", () => {
            expect(createFullBudget().admitted.filter(isAdmitted => isAdmitted)).toHaveLength(4);
        });

        it("admits small jobs, and refuses them when nothing is left", () => {
            const { budget } = createFullBudget();
            const admitted = Array.from(
                { length: 100 },
                (_unused, index) => budget.tryReserving(`small-${index}`, SMALL_BYTES),
            );
            expect(admitted.filter(isAdmitted => isAdmitted)).toHaveLength(40);
            expect(budget.freeBytes).toBe(0);
        });

        it("admits a large job when one of them has ended", () => {
            const { budget } = createFullBudget();
            budget.setSize("large-0", { bytes: LARGE_BYTES, steps: 300 });
            expect(budget.tryReserving("late", LARGE_BYTES)).toBe(false);
            budget.setSize("large-0", undefined);
            expect(budget.tryReserving("late", LARGE_BYTES)).toBe(true);
        });

        it("admits a large job when an admitted one was never written to the store", async () => {
            const { budget, clock } = createFullBudget();
            await clock.runFor(EXPIRED_MS);
            expect(budget.tryReserving("late", LARGE_BYTES)).toBe(true);
        });
    });

    it("counts a job once, whether it is admitted again, read from the store or read again", async () => {
        const { budget, metrics } = createBudget();
        budget.tryReserving("job", LARGE_BYTES);
        budget.tryReserving("job", LARGE_BYTES);
        expect(budget.freeBytes).toBe(MAX_BYTES - LARGE_BYTES);
        budget.setSize("job", { bytes: LARGE_BYTES, steps: 300 });
        budget.setSize("job", { bytes: LARGE_BYTES, steps: 300 });
        expect(budget.freeBytes).toBe(MAX_BYTES - LARGE_BYTES);
        const text = await metrics.writeText();
        expect(text).toContain(`open_job_bytes ${LARGE_BYTES}`);
        expect(text).toContain("open_job_steps 300");
    });

    it("takes jobs that the store has, however many, refuses large ones then, and keeps room for small ones", () => {
        const { budget } = createBudget();
        budget.setSize("stored", { bytes: MAX_BYTES * 2, steps: 5000 });
        expect(budget.tryReserving("large", LARGE_BYTES)).toBe(false);
        const admitted = Array.from(
            { length: 100 },
            (_unused, index) => budget.tryReserving(`small-${index}`, SMALL_BYTES),
        );
        expect(admitted.filter(isAdmitted => isAdmitted)).toHaveLength(25);
        expect(budget.freeBytes).toBe(0);
        budget.setSize("stored", undefined);
        expect(budget.tryReserving("large", LARGE_BYTES)).toBe(true);
    });

    describe("when jobs of one queue and address have used it up", () => {
        const crowd = { queue: "crowded", address: "10.0.0.1" };
        /** Small jobs that fit into the room of queues, and into that of addresses. */
        const RESERVED_JOBS = 12;

        /** Admits jobs until one is refused. Returns how many were admitted. */
        function admitJobs(budget: OpenJobBudget, name: string, origin: JobOrigin, bytes = SMALL_BYTES): number {
            let admitted = 0;
            while (admitted < 1000 && budget.tryReserving(`${name}-${admitted}`, bytes, origin)) {
                admitted++;
            }
            return admitted;
        }

        function createUsedUp() {
            const created = createBudget();
            expect(admitJobs(created.budget, "crowd", crowd)).toBe(MAX_BYTES / SMALL_BYTES);
            return created;
        }

        it("refuses further ones of them", () => {
            const { budget } = createUsedUp();
            expect(budget.tryReserving("late", SMALL_BYTES, crowd)).toBe(false);
        });

        it("admits jobs of another queue, at most half of what is reserved", () => {
            const { budget } = createUsedUp();
            expect(admitJobs(budget, "other", { ...crowd, queue: "other" })).toBe(RESERVED_JOBS / 2);
        });

        it("admits a job from another address", () => {
            const { budget } = createUsedUp();
            expect(admitJobs(budget, "ordinary", { ...crowd, address: "10.0.0.2" })).toBe(1);
        });

        it("admits no job whose queue and address it doesn't know", () => {
            expect(createUsedUp().budget.tryReserving("unknown", SMALL_BYTES)).toBe(false);
        });

        it("admits no large job", () => {
            const { budget } = createUsedUp();
            expect(budget.tryReserving("large", LARGE_BYTES, { queue: "other", address: "10.0.0.2" })).toBe(false);
        });

        it("admits jobs of a queue from many addresses no further than what is reserved", () => {
            const { budget } = createUsedUp();
            const admitted = Array.from(
                { length: 100 },
                (_unused, index) => admitJobs(budget, `address-${index}`, { ...crowd, address: `10.0.1.${index}` }),
            );
            expect(admitted.reduce((sum, count) => sum + count)).toBe(RESERVED_JOBS);
            expect(admitJobs(budget, "other", { ...crowd, queue: "other" })).toBe(RESERVED_JOBS / 2);
        });

        it("counts a job in its reserved room until it has ended", () => {
            const { budget } = createUsedUp();
            const other = { ...crowd, queue: "other" };
            admitJobs(budget, "other", other);
            budget.setSize("other-0", { bytes: SMALL_BYTES, steps: 1, queue: other.queue });
            expect(budget.tryReserving("late", SMALL_BYTES, other)).toBe(false);
            budget.setSize("other-0", undefined);
            expect(budget.tryReserving("late", SMALL_BYTES, other)).toBe(true);
            expect(budget.freeBytes).toBe(0);
        });

        it("counts jobs that the store has for their queue", () => {
            const { budget } = createBudget();
            budget.setSize("stored", { bytes: MAX_BYTES, steps: 5000, queue: crowd.queue });
            admitJobs(budget, "small", {});
            expect(budget.tryReserving("late", SMALL_BYTES, { queue: crowd.queue })).toBe(false);
            expect(budget.tryReserving("late", SMALL_BYTES, { queue: "other" })).toBe(true);
        });
    });
});
