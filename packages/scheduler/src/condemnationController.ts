import type { Metrics } from "@sardinestage/count-metrics";
import { TaskRecordKind } from "@sardinestage/fold-tasks";
import type { TaskStream } from "@sardinestage/follow-tasks";
import { CondemnStep, planCondemnStep } from "@sardinestage/hold-workers";
import type { EventLogger } from "@sardinestage/log-events";
import { TaskPhase } from "@sardinestage/types";
import { randomUUID } from "node:crypto";
import type { SchedulerMembers } from "./schedulerMembers.js";
import type { SchedulerSettings } from "./schedulerSettings.js";
import type { WorkerFleet } from "./workerFleet.js";

interface CondemnationControllerOptions {
    readonly settings: SchedulerSettings;
    readonly holder: string;
    readonly stream: TaskStream;
    readonly fleet: WorkerFleet;
    readonly members: SchedulerMembers;
    readonly metrics: Metrics;
    readonly logger: EventLogger;
    readonly now: () => number;
    /** Whether the platform's VM list no longer contains a worker, or an operator drains it. */
    readonly isRemovedOrDrained: (worker: string) => boolean;
}

/** A condemnation that this process has announced. */
interface Announcement {
    readonly condemnId: string;
    /** When the announcement was read back from the log, in monotonic milliseconds. */
    readBackAtMs: number | undefined;
}

/**
 * Condemns workers that are lost. The condemnation is announced in the log. Once nothing can run on the worker any
 * more and no other scheduler has contested the announcement, the worker's tasks are released to be bound again.
 */
export class CondemnationController {
    private readonly announcements = new Map<string, Announcement>();
    /** When this process first saw each condemnation by another process, by condemnation id; monotonic milliseconds. */
    private readonly foreignFirstSeenAtMs = new Map<string, number>();
    private readonly startedAtMs: number;

    constructor(private readonly options: CondemnationControllerOptions) {
        this.startedAtMs = options.now();
    }

    /** Workers that this process condemns, including those whose announcement is not yet read back from the log. */
    listCondemned(): readonly string[] {
        return [...this.announcements.keys()];
    }

    /** Takes the next step for each worker that has bound tasks or that this process condemns. */
    checkWorkers(): void {
        const { stream } = this.options;
        const logContinuousSinceMs = stream.updateContinuity();
        const workers = new Set([...stream.ledger.listBoundWorkers(), ...this.announcements.keys()]);
        for (const worker of workers) {
            this.takeStep(worker, logContinuousSinceMs);
        }
    }

    private takeStep(worker: string, logContinuousSinceMs: number): void {
        const { stream, fleet, members, settings, now } = this.options;
        this.updateAnnouncement(worker);
        this.withdrawAbandoned(worker);
        const control = fleet.findControl(worker);
        const { leases } = settings;
        const step = planCondemnStep({
            nowMs: now(),
            startedAtMs: this.startedAtMs,
            // A worker without a control left the VM list before this process first called it. It counts as silent
            // since this process started.
            silentSinceMs: control === undefined ? this.startedAtMs : control.getSilentSinceMs(),
            isRemovedOrDrained: this.options.isRemovedOrDrained(worker),
            hasTasks: stream.ledger.listBound(worker).size > 0,
            isPreferred: members.computeRank(worker) === 0,
            announcedAtMs: this.announcements.get(worker)?.readBackAtMs,
            isCondemned: stream.ledger.getCondemnation(worker) !== undefined || this.announcements.has(worker),
            logContinuousSinceMs: members.isContested(worker) ? Number.POSITIVE_INFINITY : logContinuousSinceMs,
        }, {
            condemnAfterMs: leases.condemnAfterMs,
            startupQuietMs: leases.startupQuietMs,
            waitMs: this.computeWaitMs(),
        });
        this.applyStep(worker, step);
    }

    private applyStep(worker: string, step: CondemnStep): void {
        switch (step) {
            case CondemnStep.Nothing:
                return;
            case CondemnStep.Announce:
                this.announce(worker);
                break;
            case CondemnStep.Withdraw:
                this.withdraw(worker);
                break;
            case CondemnStep.Release:
                this.releaseTasks(worker);
                break;
        }
        this.options.metrics.count("condemn_steps_total", step);
        this.options.logger.warn("worker-condemn-step", { worker, step });
    }

    /**
     * Updates an announcement from the log. The waiting time begins when the announcement is read back. An announcement
     * ends when another scheduler contests it or another condemnation came first. Until it is in the log, it is
     * appended again.
     */
    private updateAnnouncement(worker: string): void {
        const { stream, now } = this.options;
        const announcement = this.announcements.get(worker);
        if (announcement === undefined) {
            return;
        }
        const recordedId = stream.ledger.getCondemnation(worker)?.condemnId;
        if (recordedId === announcement.condemnId) {
            announcement.readBackAtMs ??= now();
        }
        else if (announcement.readBackAtMs !== undefined || recordedId !== undefined) {
            this.announcements.delete(worker);
        }
        else {
            this.appendAnnouncement(worker, announcement.condemnId);
        }
    }

    /**
     * How long after the announcement nothing can run on the worker any more: its holder's authority, the leases of its
     * tasks and the clock margin, in milliseconds.
     */
    private computeWaitMs(): number {
        const { authorityMs, taskTtlMs, clockMarginMs } = this.options.settings.leases;
        return authorityMs + taskTtlMs + clockMarginMs;
    }

    /**
     * Contests another process's condemnation that was not carried out in time, because that process presumably died.
     * While the condemnation is in force, no other scheduler can announce its own.
     */
    private withdrawAbandoned(worker: string): void {
        const { stream, now } = this.options;
        const condemnId = stream.ledger.getCondemnation(worker)?.condemnId;
        if (condemnId === undefined || condemnId === this.announcements.get(worker)?.condemnId) {
            return;
        }
        const seenAtMs = this.foreignFirstSeenAtMs.get(condemnId) ?? now();
        this.foreignFirstSeenAtMs.set(condemnId, seenAtMs);
        if (now() - seenAtMs > ABANDONED_AFTER_WAITS * this.computeWaitMs()) {
            this.foreignFirstSeenAtMs.delete(condemnId);
            stream.append({ id: `contest:${condemnId}`, data: { kind: TaskRecordKind.Contest, worker, condemnId } });
        }
    }

    private announce(worker: string): void {
        const condemnId = `condemn:${worker}:${randomUUID()}`;
        this.announcements.set(worker, { condemnId, readBackAtMs: undefined });
        this.appendAnnouncement(worker, condemnId);
    }

    /** Appends the announcement. Repeated until it is read back; the fixed id makes repetitions one record. */
    private appendAnnouncement(worker: string, condemnId: string): void {
        const data = { kind: TaskRecordKind.Condemn, worker, by: this.options.holder };
        this.options.stream.append({ id: condemnId, data });
    }

    private withdraw(worker: string): void {
        const { stream } = this.options;
        const condemnId = this.announcements.get(worker)?.condemnId;
        if (condemnId !== undefined) {
            stream.append({ id: `contest:${condemnId}`, data: { kind: TaskRecordKind.Contest, worker, condemnId } });
        }
    }

    private releaseTasks(worker: string): void {
        const { stream } = this.options;
        const condemnId = this.announcements.get(worker)?.condemnId;
        for (const taskId of stream.ledger.listBound(worker)) {
            const entry = stream.ledger.getTask(taskId);
            if (entry?.phase === TaskPhase.Bound) {
                const { generation, checkpoint } = entry;
                const data = {
                    kind: TaskRecordKind.Release,
                    taskId,
                    generation,
                    worker,
                    condemnId,
                    // The worker may have made attempts that are not in the log. Their numbers must not be used again.
                    lastAttempt: entry.lastAttempt + MAX_UNRECORDED_ATTEMPTS,
                    checkpoint,
                    reason: "the worker is gone",
                    failed: false,
                };
                stream.append({ id: `release:${taskId}:${generation}:${condemnId}`, data });
            }
        }
    }
}

/** A condemnation counts as abandoned when it has been in force for this many times the waiting time. */
const ABANDONED_AFTER_WAITS = 2;
/** Exceeds the number of attempts that a worker can make of one task without a record of them in the log. */
const MAX_UNRECORDED_ATTEMPTS = 1_000;
