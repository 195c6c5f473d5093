import type { NewLogRecord } from "@sardinestage/call-platform";
import type { Metrics } from "@sardinestage/count-metrics";
import type { TaskEntry } from "@sardinestage/fold-tasks";
import { TaskRecordKind } from "@sardinestage/fold-tasks";
import type { ConfigFollower } from "@sardinestage/follow-config";
import type { TaskStream } from "@sardinestage/follow-tasks";
import type { CandidateWorker, Placement } from "@sardinestage/place-tasks";
import { PlacementRefusal, planPlacement, resourceMath, ShareLedger } from "@sardinestage/place-tasks";
import type { VmDirectory } from "@sardinestage/track-members";
import type { TaskSpec } from "@sardinestage/types";
import { TaskPhase, Urgency, WorkKind } from "@sardinestage/types";
import type { BehaviourModel } from "./behaviourModel.js";
import type { SchedulerMembers } from "./schedulerMembers.js";
import type { SchedulerSettings } from "./schedulerSettings.js";
import type { WorkerControl } from "./workerControl.js";
import type { WorkerFleet } from "./workerFleet.js";

interface TaskPlacerOptions {
    readonly settings: SchedulerSettings;
    readonly stream: TaskStream;
    readonly fleet: WorkerFleet;
    readonly members: SchedulerMembers;
    readonly behaviour: BehaviourModel;
    readonly config: ConfigFollower;
    readonly directory: VmDirectory;
    readonly metrics: Metrics;
    readonly now: () => number;
    readonly isLeaving: (worker: string) => boolean;
    /** A number from 0 to below 1. */
    readonly pickRandom: () => number;
}

/** Binds waiting tasks to the workers that this process holds. */
export class TaskPlacer {
    /** Bindings that were appended but not yet read back from the log, by task id. */
    private readonly pending = new Map<string, { readonly recordId: string; readonly worker: string }>();

    constructor(private readonly options: TaskPlacerOptions) {}

    /** Plans one round of placement and appends the resulting bindings to the log. */
    bindWaiting(): void {
        const { stream, settings, metrics } = this.options;
        this.dropResolvedBindings();
        if (!stream.isFresh()) {
            return;
        }
        const waiting = this.listWaiting();
        if (waiting.length === 0) {
            return;
        }
        const plan = planPlacement({
            waiting: waiting.map(({ spec, failedOn, changedAtMs }) => ({
                spec,
                failedOn,
                mayBindAhead: Date.now() - changedAtMs >= settings.placement.aheadAfterMs,
            })),
            workers: this.listCandidates(),
            ...this.describeDomain(),
            bindAhead: settings.placement.bindAhead,
            maxPlacements: settings.placement.maxPerRound,
            estimateSize: spec => this.options.behaviour.estimateSize(spec),
            estimateInterference: this.createInterferenceEstimate(),
        });
        plan.placements.forEach(placement => this.appendBinding(placement));
        for (const [taskId, refusal] of plan.refusals) {
            metrics.count("placements_refused_total", refusal);
            if (refusal === PlacementRefusal.NeverFits) {
                this.parkTask(taskId);
            }
        }
    }

    /** Whether the guaranteed shares allow urgent work to preempt a running batch task. */
    isPreemptionAllowed(victim: TaskSpec, urgent: TaskSpec): boolean {
        const shares = new ShareLedger(this.describeDomain());
        if (urgent.kind === WorkKind.LatencyCritical) {
            return !shares.isBatchBelowGuarantee();
        }
        return victim.team === urgent.team || shares.computeGuaranteedShareUse(victim.team) > 1;
    }

    /**
     * Whether any other worker of the failure domain has enough free capacity for a task that waits on a full worker,
     * also when another scheduler holds that worker.
     */
    hasCapacityElsewhere(entry: TaskEntry): boolean {
        const { directory, settings, stream, isLeaving } = this.options;
        if (Date.now() - entry.changedAtMs < settings.placement.aheadAfterMs) {
            return false;
        }
        return directory.listWorkers(settings.process.domain).some(({ vm, capacity }) => {
            const { ledger } = stream;
            const isUsable = vm !== entry.worker && !isLeaving(vm) && ledger.getCondemnation(vm) === undefined
                && ledger.getHold(vm) !== undefined;
            const committed = [...ledger.listBound(vm)]
                .map(taskId => ledger.getTask(taskId)?.spec.size ?? resourceMath.none)
                .reduce(resourceMath.add, entry.spec.size);
            return isUsable && resourceMath.fits(committed, capacity ?? resourceMath.none);
        });
    }

    /**
     * Waiting tasks that this process should bind: those that it owns by rank, urgent ones, and those that their owner
     * has not bound within `stealAfterMs`.
     */
    private listWaiting(): TaskEntry[] {
        const { stream, settings, members } = this.options;
        const entries: TaskEntry[] = [];
        const stealBeforeMs = Date.now() - settings.placement.stealAfterMs;
        const limit = settings.placement.maxPerRound * 4;
        for (const taskId of stream.ledger.listWaiting()) {
            const entry = stream.ledger.getTask(taskId);
            if (entry === undefined || this.pending.has(taskId)) {
                continue;
            }
            const urgent = entry.spec.urgency >= Urgency.High;
            if (urgent || entry.changedAtMs < stealBeforeMs || members.computeRank(taskId) === 0) {
                entries.push(entry);
            }
            if (entries.length >= limit && !urgent) {
                break;
            }
        }
        return entries;
    }

    private listCandidates(): CandidateWorker[] {
        const { fleet, behaviour, now, isLeaving, stream } = this.options;
        return fleet.listHeld()
            .filter(({ vm }) => !isLeaving(vm.vm) && !behaviour.health.isExcluded(vm.vm, now()))
            .filter(control => control.hasAuthority() && stream.ledger.getCondemnation(control.vm.vm) === undefined)
            .map(control => this.describeCandidate(control));
    }

    private describeCandidate({ vm }: WorkerControl): CandidateWorker {
        const { stream, behaviour } = this.options;
        const pendingHere = [...this.pending].filter(([, pending]) => pending.worker === vm.vm).map(([taskId]) =>
            taskId
        );
        const residents = [...stream.ledger.listBound(vm.vm), ...pendingHere]
            .flatMap(taskId => stream.ledger.getTask(taskId)?.spec ?? []);
        return {
            worker: vm.vm,
            rack: vm.rack,
            capacity: vm.capacity ?? resourceMath.none,
            residents,
            onProbation: behaviour.health.isOnProbation(vm.vm),
        };
    }

    private describeDomain() {
        const { settings, stream, directory, config } = this.options;
        const workers = directory.listWorkers(settings.process.domain);
        const { teams, batchShare } = config.history.getCurrent().document;
        const domainTasks = stream.ledger.listBoundWorkers()
            .flatMap(worker => [...stream.ledger.listBound(worker)])
            .flatMap(taskId => stream.ledger.getTask(taskId)?.spec ?? []);
        return {
            domainTasks,
            domainCpuMillis: workers.reduce((sum, vm) => sum + (vm.capacity?.cpuMillis ?? 0), 0),
            largestWorker: workers.reduce((most, vm) => resourceMath.max(most, vm.capacity ?? most), resourceMath.none),
            teams,
            batchShare,
        };
    }

    /**
     * In a small share of rounds, pairs that were never measured together count as free of interference. Placement then
     * puts such pairs on one worker, which yields measurements.
     */
    private createInterferenceEstimate(): (victim: TaskSpec, other: TaskSpec) => number {
        const { behaviour, settings, pickRandom } = this.options;
        if (pickRandom() >= settings.placement.exploreShare) {
            return (victim, other) => behaviour.estimateInterference(victim, other);
        }
        return (victim, other) =>
            behaviour.getObservationCount(victim, other) === 0 ? 0 : behaviour.estimateInterference(victim, other);
    }

    private appendBinding({ taskId, worker, ahead }: Placement): void {
        const { stream, fleet, metrics } = this.options;
        const entry = stream.ledger.getTask(taskId);
        const token = fleet.findControl(worker)?.getToken();
        if (entry === undefined || token === undefined) {
            return;
        }
        const generation = entry.generation + 1;
        const record: NewLogRecord = {
            id: `bind:${taskId}:${generation}:${worker}:${token}`,
            data: { kind: TaskRecordKind.Bind, taskId, generation, worker, token },
        };
        stream.append(record);
        this.pending.set(taskId, { recordId: record.id, worker });
        metrics.count("placements_total", ahead ? "ahead" : "room");
    }

    private parkTask(taskId: string): void {
        const { stream, directory, settings } = this.options;
        if (directory.listWorkers(settings.process.domain).length === 0) {
            return;
        }
        const reason = "no worker of this failure domain is large enough for it, even an empty one";
        const offset = stream.ledger.getTask(taskId)?.lastOffset ?? 0;
        stream.append({ id: `park:${taskId}:${offset}`, data: { kind: TaskRecordKind.Park, taskId, reason } });
    }

    private dropResolvedBindings(): void {
        const { stream } = this.options;
        for (const [taskId, { recordId }] of this.pending) {
            const waits = stream.ledger.getTask(taskId)?.phase === TaskPhase.Waiting;
            if (!waits || !stream.isPending(recordId)) {
                this.pending.delete(taskId);
            }
        }
    }
}
