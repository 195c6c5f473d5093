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

interface WorkerGuardOptions {
    readonly settings: SchedulerSettings;
    readonly holder: string;
    readonly stream: TaskStream;
    readonly fleet: WorkerFleet;
    readonly members: SchedulerMembers;
    readonly metrics: Metrics;
    readonly logger: EventLogger;
    readonly now: () => number;
    /** Whether the platform's list has dropped a worker, or an operator drains it. */
    readonly isGivenUp: (worker: string) => boolean;
}

interface Announcement {
    readonly condemnId: string;
    readBackAtMs: number | undefined;
}

/** Frees the tasks of workers that are gone, once they certainly don't run there any more. */
export class WorkerGuard {
    private readonly announcements = new Map<string, Announcement>();
    /** Announcements of other processes, and when this one first saw them. */
    private readonly foreign = new Map<string, number>();
    private readonly startedAtMs: number;

    constructor(private readonly options: WorkerGuardOptions) {
        this.startedAtMs = options.now();
    }

    /** Workers that this process condemns, announced or about to be. */
    listCondemned(): readonly string[] {
        return [...this.announcements.keys()];
    }

    /** Takes one step for each worker that has tasks. */
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
        this.dropAbandoned(worker);
        const control = fleet.findControl(worker);
        const { leases } = settings;
        const step = planCondemnStep({
            nowMs: now(),
            startedAtMs: this.startedAtMs,
            // A worker that the list has dropped before this process ever tried it is as silent as one that fails.
            silentSinceMs: control === undefined ? this.startedAtMs : control.getSilentSinceMs(),
            isGivenUp: this.options.isGivenUp(worker),
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

    /** Follows the log: an announcement counts from when it was read back, and ends when somebody objected. */
    private updateAnnouncement(worker: string): void {
        const { stream, now } = this.options;
        const announcement = this.announcements.get(worker);
        if (announcement === undefined) {
            return;
        }
        const standing = stream.ledger.getCondemnation(worker)?.condemnId;
        if (standing === announcement.condemnId) {
            announcement.readBackAtMs ??= now();
        }
        else if (announcement.readBackAtMs !== undefined || standing !== undefined) {
            this.announcements.delete(worker);
        }
        else {
            this.appendAnnouncement(worker, announcement.condemnId);
        }
    }

    /** After that, nothing can run on a worker that was announced. */
    private computeWaitMs(): number {
        const { authorityMs, taskTtlMs, clockMarginMs } = this.options.settings.leases;
        return authorityMs + taskTtlMs + clockMarginMs;
    }

    /** An announcement whose process died is never carried out, and would keep others from making their own. */
    private dropAbandoned(worker: string): void {
        const { stream, now } = this.options;
        const condemnId = stream.ledger.getCondemnation(worker)?.condemnId;
        if (condemnId === undefined || condemnId === this.announcements.get(worker)?.condemnId) {
            return;
        }
        const seenAtMs = this.foreign.get(condemnId) ?? now();
        this.foreign.set(condemnId, seenAtMs);
        if (now() - seenAtMs > ABANDONED_AFTER_WAITS * this.computeWaitMs()) {
            this.foreign.delete(condemnId);
            stream.append({ id: `contest:${condemnId}`, data: { kind: TaskRecordKind.Contest, worker, condemnId } });
        }
    }

    private announce(worker: string): void {
        const condemnId = `condemn:${worker}:${randomUUID()}`;
        this.announcements.set(worker, { condemnId, readBackAtMs: undefined });
        this.appendAnnouncement(worker, condemnId);
    }

    /** Repeated until it was read back; the id makes repetitions one record. */
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
                    // Attempts that the worker made and that nobody recorded must not be numbered again.
                    lastAttempt: entry.lastAttempt + UNSEEN_ATTEMPTS,
                    checkpoint,
                    reason: "the worker is gone",
                    failed: false,
                };
                stream.append({ id: `release:${taskId}:${generation}:${condemnId}`, data });
            }
        }
    }
}

/** An announcement that stands for so many times its wait is abandoned. */
const ABANDONED_AFTER_WAITS = 2;
/** More attempts than a worker can have made of one task without any record of them in the log. */
const UNSEEN_ATTEMPTS = 1_000;
