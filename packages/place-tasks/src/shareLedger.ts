import type { TaskSpec } from "@sardinestage/types";
import { WorkKind } from "@sardinestage/types";
import { PlacementRefusal } from "./placementRefusal.js";
import type { PlacementView } from "./placementView.js";

type ShareView = Pick<PlacementView, "domainTasks" | "domainCpuMillis" | "teams" | "batchShare">;

/** Counts processors by kind and by team, and says who may take more. */
export class ShareLedger {
    private readonly byKind = new Map<WorkKind, number>();
    private readonly byTeam = new Map<string, number>();

    constructor(private readonly view: ShareView) {
        view.domainTasks.forEach(spec => this.add(spec));
    }

    /** Counts a task that was placed. */
    add(spec: TaskSpec): void {
        this.byKind.set(spec.kind, this.getKindUse(spec.kind) + spec.size.cpuMillis);
        this.byTeam.set(spec.team, this.getTeamUse(spec.team) + spec.size.cpuMillis);
    }

    /** Why a task may not take more now, or `undefined` when it may. */
    checkShare(spec: TaskSpec): PlacementRefusal | undefined {
        const { domainCpuMillis, batchShare } = this.view;
        const maximumShare = this.findQuota(spec.team)?.maximumShare ?? 0;
        const teamUse = this.getTeamUse(spec.team) + spec.size.cpuMillis;
        // A team that may have everything is bounded by what fits; work bound ahead of need is more than that.
        if (maximumShare < 1 && teamUse > maximumShare * domainCpuMillis) {
            return PlacementRefusal.TeamAtMaximum;
        }
        const kindUse = this.getKindUse(WorkKind.LatencyCritical) + spec.size.cpuMillis;
        if (spec.kind === WorkKind.LatencyCritical && kindUse > (1 - batchShare) * domainCpuMillis) {
            return PlacementRefusal.BatchGuarantee;
        }
        return undefined;
    }

    /** Whether batch work has less than its guaranteed share. */
    isBatchBelowGuarantee(): boolean {
        return this.getKindUse(WorkKind.Batch) < this.view.batchShare * this.view.domainCpuMillis;
    }

    /** How far a team is towards its guaranteed share; 1 and more is borrowing. */
    computeTeamFill(team: string): number {
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
