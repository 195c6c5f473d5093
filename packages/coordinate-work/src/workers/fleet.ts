import type { KeyedRecord } from "@sardinestage/describe-ports";
import type { WorkerEntry } from "@sardinestage/describe-work";
import { WorkerState } from "@sardinestage/describe-work";
import type { CoordinatorParts } from "../coordinatorParts.js";
import { limits } from "../limits.js";
import { EvacuationReporter } from "./evacuationReporter.js";
import { TrackedWorker } from "./trackedWorker.js";

/** An unlisted worker without tasks is removed after this silence, in milliseconds. */
const REMOVE_AFTER_SILENCE_MS = 10_000;
/** The same if it has told ends of jobs that weren't read yet, in milliseconds: the store may be away meanwhile. */
const REMOVE_WITH_ENDS_MS = 60_000;

/** The earlier coordinator's clock and its estimates of the workers' clocks may be off by this much, in milliseconds. */
const CLOCK_MARGIN_MS = 50;

/**
 * A life of a worker that began at most this long before the term, in milliseconds, may have got a start for the former
 * life: `limits.workerSilenceMs`, the timeout of a call, and a second by which times of day may differ.
 */
const RECENT_LIFE_MS = 4000;

/** Unreadable entries that are logged; further ones are only counted. */
const MAX_UNREADABLE_KEYS = 100;

/** Callbacks of a fleet. */
interface FleetHandlers {
    /** Called for a newly listed worker, whose lease has to be renewed. */
    readonly noteListed: (worker: TrackedWorker) => void;
    /** Called when a worker's entry says that the worker is draining. */
    readonly noteDraining: (worker: TrackedWorker) => void;
}

/** The workers that the platform lists, and unlisted workers that may still run tasks. */
export class Fleet {
    readonly workers = new Map<string, TrackedWorker>();
    private readonly openedAtMs: number;
    /** The time of day when the term began, in Unix milliseconds. */
    private readonly openedAtWallMs: number;
    /** Keys of the unreadable entries that were logged. */
    private readonly unreadableKeys = new Set<string>();
    private readonly evacuationReporter: EvacuationReporter;

    constructor(private readonly parts: CoordinatorParts, private readonly handlers: FleetHandlers) {
        this.evacuationReporter = new EvacuationReporter(parts);
        this.openedAtMs = parts.clock.getNow();
        this.openedAtWallMs = parts.clock.getWallTime();
    }

    /**
     * When all leases granted by earlier coordinators have expired, also on workers that can't be reached, in steady
     * milliseconds. All coordinators ask for the same lease length, although workers would grant longer leases, and bind
     * it by the age of their authority.
     */
    get earlierLeasesExpireAtMs(): number {
        const { earlierTerm, rules } = this.parts;
        const boundMs = rules.leaseMs + limits.leaseConfirmationMs;
        return Math.min(
            earlierTerm.actsUntilMs + rules.leaseMs / limits.slowestClockRate,
            earlierTerm.confirmedBeforeMs + CLOCK_MARGIN_MS + boundMs / limits.slowestClockRate,
        );
    }

    /**
     * Computes when the leases of a worker that hasn't answered in this term have expired, in steady milliseconds. A start
     * that was meant for a former life states a time of another clock, so that the life that gets it grants the longest
     * lease.
     *
     * @param bornMs When the worker's life began, by its entry, in Unix milliseconds.
     */
    private computeEarlierLeaseExpiry(bornMs: number): number {
        const { earlierTerm, rules } = this.parts;
        return bornMs > this.openedAtWallMs - RECENT_LIFE_MS
            ? Math.max(
                this.earlierLeasesExpireAtMs,
                earlierTerm.actsUntilMs + rules.maxLeaseMs / limits.slowestClockRate,
            )
            : this.earlierLeasesExpireAtMs;
    }

    /** Reports the evacuations that have started or ended since the last call. */
    reportEvacuations(): void {
        this.evacuationReporter.reportChanges(this.workers.values());
    }

    /** Applies a record of the platform's worker list. */
    handleRecord(record: KeyedRecord): void {
        if (record.value === undefined) {
            this.noteUnlisted(record.key);
            return;
        }
        const entry = this.parts.codec.decodeWorker(record);
        if (entry === undefined) {
            // An unreadable entry, from another writer, neither adds a worker nor removes one.
            this.noteUnreadable(record.key);
            return;
        }
        this.applyEntry(entry);
    }

    /** Finds a worker named in a job's recorded progress; adds a placeholder if the worker isn't listed. */
    getOrAddWorker(workerId: string): TrackedWorker {
        return this.workers.get(workerId) ?? this.addPlaceholder(workerId);
    }

    /** Removes unlisted workers that have no tasks and have been silent for long. */
    removeUnlisted(nowMs: number): void {
        for (const [id, worker] of this.workers) {
            const silenceMs = nowMs - Math.max(worker.answeredAtMs, this.openedAtMs);
            const isSilent =
                silenceMs > (worker.unappliedEnds.size > 0 ? REMOVE_WITH_ENDS_MS : REMOVE_AFTER_SILENCE_MS);
            if (worker.isUnlisted && worker.tasks.size === 0 && isSilent) {
                this.workers.delete(id);
            }
        }
    }

    private applyEntry(entry: WorkerEntry): void {
        const known = this.workers.get(entry.id);
        if (known === undefined) {
            const worker = this.createWorker(entry);
            this.workers.set(entry.id, worker);
            this.parts.logger.info("worker-listed", { worker: entry.id, domain: entry.domain, bornMs: entry.bornMs });
            this.handlers.noteListed(worker);
        }
        else {
            const wasPlaceholder = known.entry.address === "";
            const wasUnlisted = known.isUnlisted;
            known.entry = entry;
            known.isUnlisted = false;
            if (wasPlaceholder) {
                this.handlers.noteListed(known);
            }
            if (wasUnlisted) {
                this.parts.logger.info("worker-listed-again", { worker: entry.id, bornMs: entry.bornMs });
            }
        }
        const worker = this.workers.get(entry.id);
        worker?.coldPhase.noteEntry(entry, this.parts.clock.getNow());
        if (entry.state === WorkerState.Draining && worker !== undefined) {
            this.handlers.noteDraining(worker);
        }
    }

    private createWorker(entry: WorkerEntry): TrackedWorker {
        const getExpiry = (bornMs: number) => this.computeEarlierLeaseExpiry(bornMs);
        const { getNewestFence, evacuations } = this.parts;
        return new TrackedWorker(entry, getExpiry, getNewestFence, domain => evacuations.isEvacuated(domain));
    }

    private addPlaceholder(workerId: string): TrackedWorker {
        const entry: WorkerEntry = {
            id: workerId,
            bornMs: 0,
            service: "",
            address: "",
            domain: "",
            state: WorkerState.Draining,
            capacity: { cpuMillis: 0, memoryMb: 0, accelerators: 0 },
            labels: [],
            rack: "",
            remainingMs: 0,
            coldRemainingMs: 0,
        };
        const worker = this.createWorker(entry);
        worker.isUnlisted = true;
        this.workers.set(workerId, worker);
        this.parts.logger.warn("worker-unlisted", { worker: workerId });
        return worker;
    }

    /** Logs an unreadable entry once: its writer may repeat it with each heartbeat. */
    private noteUnreadable(key: string): void {
        this.parts.metrics.count("worker_entries_skipped_total", "unreadable");
        if (!this.unreadableKeys.has(key) && this.unreadableKeys.size < MAX_UNREADABLE_KEYS) {
            this.unreadableKeys.add(key);
            this.parts.logger.warn("worker-entry-unreadable", { worker: key });
        }
    }

    private noteUnlisted(id: string): void {
        const worker = this.workers.get(id);
        if (worker !== undefined && !worker.isUnlisted) {
            worker.isUnlisted = true;
            this.parts.logger.info("worker-unlisted", { worker: id, tasks: worker.tasks.size });
        }
    }
}
