import type { ConnectionGrant, GrantReport } from "@sardinestage/grant-connections";
import type { Target } from "./target.js";
import { TargetHealth } from "./targetHealth.js";
import { TargetUse } from "./targetUse.js";

interface TargetTableOptions {
    readonly probationMs: number;
    /** Largest share of a service's targets that are passed over at once. */
    readonly maxProbationShare: number;
    /** Monotonic time in milliseconds. */
    readonly now: () => number;
    /** A number from 0 to below 1. */
    readonly pickRandom: () => number;
}

interface Slot {
    target: Target;
    inFlight: number;
    readonly health: TargetHealth;
}

/**
 * The targets under grants, with what is in flight to each. A request is never sent to a target beyond its grant's
 * limit or after the grant has lapsed.
 */
export class TargetTable {
    /** By worker and service. */
    private readonly slots = new Map<string, Slot>();
    private readonly byService = new Map<string, Set<Slot>>();
    private readonly tokens = new Map<string, number>();
    /** By scheduler, when the newest pull was sent that was answered. */
    private readonly newestPulls = new Map<string, number>();

    constructor(private readonly options: TargetTableOptions) {}

    /**
     * Takes a scheduler's answer: all grants that it gives now. An answer that arrives after a newer one is void.
     *
     * @param grantedBy The scheduler.
     * @param grants What it grants.
     * @param sentAtMs When the pull was sent; grants run from then.
     */
    applyGrants(grantedBy: string, grants: readonly ConnectionGrant[], sentAtMs: number): void {
        if (sentAtMs < (this.newestPulls.get(grantedBy) ?? 0)) {
            return;
        }
        this.newestPulls.set(grantedBy, sentAtMs);
        const granted = new Set<string>();
        for (const grant of grants) {
            if (grant.token >= (this.tokens.get(grant.worker) ?? 0)) {
                this.tokens.set(grant.worker, grant.token);
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

    /** What this entry holds, as it reports it when it pulls grants. */
    listReports(): GrantReport[] {
        const nowMs = this.options.now();
        return [...this.slots.values()].flatMap(({ target, inFlight }) => {
            const limit = nowMs < target.expiresAtMs ? target.limit : 0;
            const { worker, token, service } = target;
            return limit > 0 || inFlight > 0 ? [{ worker, token, service, limit, inFlight }] : [];
        });
    }

    /** How many requests a service's targets take at once from this entry. */
    getCapacity(service: string): number {
        const nowMs = this.options.now();
        let sum = 0;
        for (const { target } of this.byService.get(service) ?? []) {
            sum += nowMs < target.expiresAtMs ? target.limit : 0;
        }
        return sum;
    }

    /**
     * Takes one of a service's targets: the better of two picked at random, by latency times what is in flight.
     *
     * @param exclude Workers that were tried already.
     * @returns The target, counted as in flight, or `undefined` when none has room.
     */
    tryAcquire(service: string, exclude: ReadonlySet<string> = new Set()): Target | undefined {
        const nowMs = this.options.now();
        const all = [...this.byService.get(service) ?? []];
        const open = all.filter(({ target, inFlight }) =>
            nowMs < target.expiresAtMs && inFlight < target.limit && !exclude.has(target.worker)
        );
        const chosen = this.chooseOfTwo(this.listHealthy(open, all.length, nowMs));
        if (chosen !== undefined) {
            chosen.inFlight++;
        }
        return chosen?.target;
    }

    /** Gives a target back; `latencyMs` counts when it answered. */
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

    /** Services that have targets. */
    listServices(): readonly string[] {
        return [...this.byService.keys()];
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
        const slots = this.byService.get(target.service) ?? new Set();
        this.byService.set(target.service, slots.add(slot));
    }

    private dropWhenIdle(key: string, slot: Slot): void {
        if (slot.inFlight === 0 && slot.target.limit === 0) {
            this.slots.delete(key);
            const slots = this.byService.get(slot.target.service);
            slots?.delete(slot);
            if (slots?.size === 0) {
                this.byService.delete(slot.target.service);
            }
        }
    }

    /** Passes over targets on probation, but never more of them than the share allows. */
    private listHealthy(open: Slot[], total: number, nowMs: number): Slot[] {
        const healthy = open.filter(slot => !slot.health.isOnProbation(nowMs));
        const passedOver = open.length - healthy.length;
        return passedOver <= total * this.options.maxProbationShare ? healthy : open;
    }

    private chooseOfTwo(open: readonly Slot[]): Slot | undefined {
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
