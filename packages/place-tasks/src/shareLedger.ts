import type { TaskSpec } from "@sardinestage/types";
import { WorkKind } from "@sardinestage/types";
import { PlacementRefusal } from "./placementRefusal.js";
import type { PlacementView } from "./placementView.js";

type ShareView = Pick<PlacementView, "domainTasks" | "domainCpuMillis" | "teams" | "batchShare">;

/** Tracks the processors in use by kind of work and by team, and checks tasks against their shares. */
export class ShareLedger {
    private readonly byKind = new Map<WorkKind, number>();
    private readonly byTeam = new Map<string, number>();

    constructor(private readonly view: ShareView) {
        view.domainTasks.forEach(spec => this.add(spec));
    }

    /** Adds the processors of a task that was placed. */
    add(spec: TaskSpec): void {
        this.byKind.set(spec.kind, this.getKindUse(spec.kind) + spec.size.cpuMillis);
        this.byTeam.set(spec.team, this.getTeamUse(spec.team) + spec.size.cpuMillis);
    }

    /** The share that forbids placing a task now, or `undefined` when the task may be placed. */
    findShareRefusal(spec: TaskSpec): PlacementRefusal | undefined {
        const { domainCpuMillis, batchShare } = this.view;
        const maximumShare = this.findQuota(spec.team)?.maximumShare ?? 0;
        const teamUse = this.getTeamUse(spec.team) + spec.size.cpuMillis;
        // A team with a maximum share of 1 is limited by the workers alone. Tasks that are bound ahead can take its use
        // above all processors of the domain, so it must not be checked against them.
        if (maximumShare < 1 && teamUse > maximumShare * domainCpuMillis) {
            return PlacementRefusal.TeamAtMaximum;
        }
        const kindUse = this.getKindUse(WorkKind.LatencyCritical) + spec.size.cpuMillis;
        if (spec.kind === WorkKind.LatencyCritical && kindUse > (1 - batchShare) * domainCpuMillis) {
            return PlacementRefusal.BatchGuarantee;
        }
        return undefined;
    }

    /** Whether batch work uses less than its guaranteed share. */
    isBatchBelowGuarantee(): boolean {
        return this.getKindUse(WorkKind.Batch) < this.view.batchShare * this.view.domainCpuMillis;
    }

    /**
     * A team's use divided by its guaranteed share; infinity for a team without one. From 1 on, the team borrows
     * capacity beyond its guarantee.
     */
    computeGuaranteedShareUse(team: string): number {
        const guaranteed = (this.findQuota(team)?.guaranteedShare ?? 0) * this.view.domainCpuMillis;
        return guaranteed === 0 ? Number.POSITIVE_INFINITY : this.getTeamUse(team) / guaranteed;
    }

    private findQuota(team: string) {
        return this.view.teams.find(each => each.team === team);
    }

    private getKindUse(kind: WorkKind): number {
        return this.byKind.get(kind) ?? 0;
    }

    private getTeamUse(team: string): number {
        return this.byTeam.get(team) ?? 0;
    }
}
