import { applyStep } from "./applyStep.js";
import type { DomainStep } from "./domainStep.js";
import type { FakeDomain } from "./fakeDomain.js";

const FIRST_TASKS = 4;
const HEAL_TICKS = 260;

/**
 * Plays a history until it breaks a rule, or else to its end and on without faults until all tasks can have ended.
 *
 * @returns The violations, and the tasks that are still open.
 */
export async function runHistory(
    domain: FakeDomain,
    steps: readonly DomainStep[],
): Promise<{ violations: readonly string[]; open: readonly string[] }> {
    const { violations } = domain.oracle;
    for (let i = 0; i < FIRST_TASKS; i++) {
        domain.submitTask();
    }
    for (const each of steps) {
        await applyStep(domain, each);
        if (violations.length > 0) {
            return { violations, open: domain.listOpen() };
        }
    }
    domain.reset();
    for (let i = 0; i < HEAL_TICKS; i++) {
        await domain.runTick(i);
    }
    return { violations, open: domain.listOpen() };
}
