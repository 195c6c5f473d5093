import type { ConnectionGrant, GrantReport } from "@sardinestage/grant-connections";
import type { Target } from "./target.js";
import { TargetHealth } from "./targetHealth.js";
import { TargetUse } from "./targetUse.js";

interface TargetTableOptions {
    readonly probationMs: number;
    /** Largest share of a service's targets that may be skipped at once because of probation. */
    readonly maxProbationShare: number;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
    /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
    readonly pickRandom: () => number;
}

/** A target with its requests in flight and its health. */
interface Slot {
    target: Target;
    inFlight: number;
    readonly health: TargetHealth;
}

/**
 * The targets for which this entry has grants, with the number of requests in flight to each. A request is never sent
 * to a target beyond the limit of the target's grant or after the grant has expired.
 */
export class TargetTable {
    /** By {@link createKey} of worker and service. */
    private readonly slots = new Map<string, Slot>();
    private readonly slotsByService = new Map<string, Set<Slot>>();
    /** Newest fencing token seen, by worker. */
    private readonly newestTokens = new Map<string, number>();
    /** When the newest answered pull was sent, by scheduler. */
    private readonly newestPullSentAtMs = new Map<string, number>();

    constructor(private readonly options: TargetTableOptions) {}

    /**
     * Applies a scheduler's answer to a pull, which lists all of its current grants. Ignores an answer to an older pull
     * than the newest one that was answered, and grants under an older fencing token than the newest one of the worker.
     *
     * @param grantedBy The scheduler.
     * @param grants All grants that the scheduler gives to this entry.
     * @param sentAtMs When the pull was sent, in monotonic milliseconds. The time to live of a grant counts from then.
     */
    applyGrants(grantedBy: string, grants: readonly ConnectionGrant[], sentAtMs: number): void {
        if (sentAtMs < (this.newestPullSentAtMs.get(grantedBy) ?? 0)) {
            return;
        }
        this.newestPullSentAtMs.set(grantedBy, sentAtMs);
        const granted = new Set<string>();
        for (const grant of grants) {
            if (grant.token >= (this.newestTokens.get(grant.worker) ?? 0)) {
                this.newestTokens.set(grant.worker, grant.token);
                granted.add(createKey(grant.worker, grant.service));
                this.setTarget({ ...grant, grantedBy, expiresAtMs: sentAtMs + grant.ttlMs });
            }
        }
        for (const [key, slot] of this.slots) {
            if (slot.target.grantedBy === grantedBy && !granted.has(key)) {
                slot.target = { ...slot.target, limit: 0 };
                this.dropWhenIdle(key, slot);
            }
        }
    }

    /** Lists the grants in use with their requests in flight, as this entry reports them when it pulls grants. */
    listReports(): GrantReport[] {
        const nowMs = this.options.now();
        return [...this.slots.values()].flatMap(({ target, inFlight }) => {
            const limit = nowMs < target.expiresAtMs ? target.limit : 0;
            const { worker, token, service } = target;
            return limit > 0 || inFlight > 0 ? [{ worker, token, service, limit, inFlight }] : [];
        });
    }

    /** Returns how many requests this entry may have in flight to a service's targets together. */
    getCapacity(service: string): number {
        const nowMs = this.options.now();
        let sum = 0;
        for (const { target } of this.slotsByService.get(service) ?? []) {
            sum += nowMs < target.expiresAtMs ? target.limit : 0;
        }
        return sum;
    }

    /**
     * Acquires one of a service's targets. Picks two at random and takes the one with the lower product of latency and
     * requests in flight, counting the new one.
     *
     * @param exclude Workers already tried.
     * @returns The target, now counted as in flight, or `undefined` if no target has free capacity.
     */
    tryAcquire(service: string, exclude: ReadonlySet<string> = new Set()): Target | undefined {
        const nowMs = this.options.now();
        const all = [...this.slotsByService.get(service) ?? []];
        const open = all.filter(({ target, inFlight }) =>
            nowMs < target.expiresAtMs && inFlight < target.limit && !exclude.has(target.worker)
        );
        const chosen = this.chooseLessLoaded(this.listHealthy(open, all.length, nowMs));
        if (chosen !== undefined) {
            chosen.inFlight++;
        }
        return chosen?.target;
    }

    /** Releases a target. `latencyMs` is recorded only if the target answered. */
    release(target: Target, use: TargetUse, latencyMs = 0): void {
        const key = createKey(target.worker, target.service);
        const slot = this.slots.get(key);
        if (slot === undefined) {
            return;
        }
        slot.inFlight--;
        if (use === TargetUse.Answered) {
            slot.health.recordAnswer(latencyMs);
        }
        else if (use === TargetUse.Failed) {
            slot.health.recordFailure(this.options.now());
        }
        this.dropWhenIdle(key, slot);
    }

    /** Lists the services that have targets. */
    listServices(): readonly string[] {
        return [...this.slotsByService.keys()];
    }

    private setTarget(target: Target): void {
        const key = createKey(target.worker, target.service);
        const known = this.slots.get(key);
        if (known !== undefined) {
            known.target = target;
            return;
        }
        const slot = { target, inFlight: 0, health: new TargetHealth(this.options.probationMs) };
        this.slots.set(key, slot);
        const slots = this.slotsByService.get(target.service) ?? new Set();
        this.slotsByService.set(target.service, slots.add(slot));
    }

    private dropWhenIdle(key: string, slot: Slot): void {
        if (slot.inFlight === 0 && slot.target.limit === 0) {
            this.slots.delete(key);
            const slots = this.slotsByService.get(slot.target.service);
            slots?.delete(slot);
            if (slots?.size === 0) {
                this.slotsByService.delete(slot.target.service);
            }
        }
    }

    /** Skips targets on probation, unless that would skip more than the allowed share of all targets. */
    private listHealthy(open: Slot[], total: number, nowMs: number): Slot[] {
        const healthy = open.filter(slot => !slot.health.isOnProbation(nowMs));
        const skipped = open.length - healthy.length;
        return skipped <= total * this.options.maxProbationShare ? healthy : open;
    }

    private chooseLessLoaded(open: readonly Slot[]): Slot | undefined {
        const pick = () => open[Math.floor(this.options.pickRandom() * open.length)];
        if (open.length < 2) {
            return open[0];
        }
        const [first, second] = [pick(), pick()];
        return computeLoad(first) <= computeLoad(second) ? first : second;
    }
}

function computeLoad(slot: Slot): number {
    return slot.health.getLatencyMs() * (slot.inFlight + 1);
}

function createKey(worker: string, service: string): string {
    return `${worker}\n${service}`;
}
