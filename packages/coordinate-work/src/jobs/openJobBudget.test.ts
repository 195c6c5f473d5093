import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
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
});
