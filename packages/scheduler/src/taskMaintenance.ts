import type { LogPort } from "@sardinestage/call-platform";
import { ConfigRecordKind } from "@sardinestage/fold-config";
import type { TaskEntry, TaskRecord } from "@sardinestage/fold-tasks";
import { TaskRecordKind } from "@sardinestage/fold-tasks";
import type { ConfigFollower } from "@sardinestage/follow-config";
import type { TaskStream } from "@sardinestage/follow-tasks";
import { resourceMath } from "@sardinestage/place-tasks";
import { planReplicas } from "@sardinestage/plan-replicas";
import type { VmDirectory } from "@sardinestage/track-members";
import { TaskPhase } from "@sardinestage/types";
import type { SchedulerMembers } from "./schedulerMembers.js";
import type { SchedulerSettings } from "./schedulerSettings.js";
import type { WorkerFleet } from "./workerFleet.js";

const CONFIG_STREAM = "config";

interface TaskMaintenanceOptions {
    readonly settings: SchedulerSettings;
    readonly stream: TaskStream;
    readonly config: ConfigFollower;
    readonly members: SchedulerMembers;
    readonly directory: VmDirectory;
    readonly fleet: WorkerFleet;
    readonly log: LogPort;
}

/**
 * Periodic maintenance of the task stream. Submits and cancels replicas as configured, unparks tasks that fit a worker
 * again, and appends records again before the log's retention drops them.
 */
export class TaskMaintenance {
    private configRetainedAtMs = 0;

    constructor(private readonly options: TaskMaintenanceOptions) {}

    /** Runs one round of maintenance. Does nothing unless the log was read to its end a short time ago. */
    run(): void {
        const { stream, settings } = this.options;
        if (!stream.isFresh()) {
            return;
        }
        this.submitReplicas();
        this.unparkTasks();
        this.renewRecords();
        this.renewConfig();
        stream.ledger.expireEnded(Date.now() - settings.retention.keepEndedMs);
    }

    /** Appends the configuration again before retention drops it. A lost append is repeated after `carryAfterMs`. */
    private renewConfig(): void {
        const { config, settings, members, log } = this.options;
        const { version, document } = config.history.getCurrent();
        const dueAtMs = Math.max(config.history.getLastAppendedAtMs(), this.configRetainedAtMs)
            + settings.retention.carryAfterMs;
        if (version > 0 && dueAtMs < Date.now() && members.computeRank(CONFIG_STREAM) === 0) {
            this.configRetainedAtMs = Date.now();
            const data = { kind: ConfigRecordKind.Retain, version, document };
            void log.append(CONFIG_STREAM, [{ id: `retain:${version}:${this.configRetainedAtMs}`, data }]);
        }
    }

    private submitReplicas(): void {
        const { config, stream, settings } = this.options;
        const current = config.history.getCurrent();
        // Without a configuration the services are unknown, so no replica may be cancelled.
        if (current.version > 0) {
            const tasks = stream.ledger.listTasks();
            planReplicas({ config: current.document, domain: settings.process.domain, tasks })
                .forEach(record => stream.append(record));
        }
    }

    private unparkTasks(): void {
        const { directory, settings, stream, members } = this.options;
        const workers = directory.listWorkers(settings.process.domain);
        for (const { spec, phase, lastOffset } of stream.ledger.listTasks()) {
            const { taskId } = spec;
            if (phase !== TaskPhase.Parked || members.computeRank(taskId) > 0) {
                continue;
            }
            if (workers.some(vm => resourceMath.fits(spec.size, vm.capacity ?? resourceMath.none))) {
                stream.append({ id: `unpark:${taskId}:${lastOffset}`, data: { kind: TaskRecordKind.Unpark, taskId } });
            }
        }
    }

    private renewRecords(): void {
        const { stream, settings, members, fleet } = this.options;
        const beforeMs = Date.now() - settings.retention.carryAfterMs;
        for (const entry of stream.ledger.listTasks()) {
            if (entry.changedAtMs < beforeMs && isOpen(entry) && members.computeRank(entry.spec.taskId) === 0) {
                stream.append({ id: `carry:${entry.spec.taskId}:${entry.lastOffset}`, data: createCarry(entry) });
            }
        }
        for (const { vm } of fleet.listHeld()) {
            const hold = stream.ledger.getHold(vm.vm);
            if (hold !== undefined && hold.changedAtMs < beforeMs) {
                const { token, holder, changedAtMs } = hold;
                const data: TaskRecord = { kind: TaskRecordKind.Hold, worker: vm.vm, token, holder };
                stream.append({ id: `hold:${vm.vm}:${token}:${changedAtMs}`, data });
            }
        }
    }
}

function isOpen({ phase }: TaskEntry): boolean {
    return phase === TaskPhase.Waiting || phase === TaskPhase.Bound || phase === TaskPhase.Parked;
}

function createCarry(entry: TaskEntry): TaskRecord {
    const { spec, phase, generation, worker, lastAttempt, checkpoint, failedOn, cancelRequested, submittedAtMs } =
        entry;
    return {
        kind: TaskRecordKind.Carry,
        spec,
        phase,
        generation,
        worker,
        lastAttempt,
        checkpoint,
        failedOn: [...failedOn],
        cancelRequested,
        submittedAtMs,
        asOf: entry.lastOffset,
    };
}
