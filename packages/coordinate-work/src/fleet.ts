import type { KeyedRecord } from "@sardinestage/describe-ports";
import type { WorkerEntry } from "@sardinestage/describe-work";
import { WorkerState } from "@sardinestage/describe-work";
import type { CoordinatorParts } from "./coordinatorParts.js";
import { limits } from "./limits.js";
import { WorkerLink } from "./workerLink.js";

/** An earlier coordinator notices within this time that it has lost its term, in milliseconds. */
const PREDECESSOR_NOTICE_MS = 1000;
/** An unlisted worker without tasks is removed after this silence, in milliseconds. */
const FORGET_AFTER_MS = 10_000;

/** Callbacks of a fleet. */
interface FleetHandlers {
    /** Called for a newly listed worker, whose lease has to be renewed. */
    readonly noteWorker: (link: WorkerLink) => void;
    /** Called when a worker's entry says that the worker is draining. */
    readonly noteDraining: (link: WorkerLink) => void;
}

/** The workers that the platform lists, and unlisted workers that may still run tasks. */
export class Fleet {
    readonly links = new Map<string, WorkerLink>();
    private readonly openedAtMs: number;

    constructor(private readonly parts: CoordinatorParts, private readonly handlers: FleetHandlers) {
        this.openedAtMs = parts.clock.getNow();
    }

    /**
     * When all leases granted by earlier coordinators have expired, also on workers that can't be reached, in steady
     * milliseconds. All coordinators ask for the same lease length, although workers would grant longer leases.
     */
    get lapsedAtMs(): number {
        return this.openedAtMs + PREDECESSOR_NOTICE_MS + this.parts.rules.leaseMs / limits.slowestClock;
    }

    /** Applies a record of the platform's worker list. */
    takeRecord(record: KeyedRecord): void {
        if (record.value === undefined) {
            this.noteGone(record.key);
            return;
        }
        const entry = this.parts.codec.decodeWorker(record);
        if (entry === undefined) {
            // An unreadable entry, from another writer, neither adds a worker nor removes one.
            this.parts.metrics.count("worker_entries_skipped_total", "unreadable");
            return;
        }
        this.takeEntry(entry);
    }

    /** Finds a worker named in a job's recorded progress; adds a placeholder if the worker isn't listed. */
    getOrAddLink(workerId: string): WorkerLink {
        return this.links.get(workerId) ?? this.addGhost(workerId);
    }

    /** Removes unlisted workers that have no tasks and have been silent for long. */
    dropGone(nowMs: number): void {
        for (const [id, link] of this.links) {
            const isSilent = nowMs - Math.max(link.clockAtMs, this.openedAtMs) > FORGET_AFTER_MS;
            if (link.isGone && link.tasks.size === 0 && isSilent) {
                this.links.delete(id);
            }
        }
    }

    private takeEntry(entry: WorkerEntry): void {
        const known = this.links.get(entry.id);
        if (known === undefined) {
            const link = new WorkerLink(entry, this.lapsedAtMs);
            this.links.set(entry.id, link);
            this.parts.logger.info("worker-listed", { worker: entry.id, domain: entry.domain, bornMs: entry.bornMs });
            this.handlers.noteWorker(link);
        }
        else {
            const wasGhost = known.entry.address === "";
            const wasGone = known.isGone;
            known.entry = entry;
            known.isGone = false;
            if (wasGhost) {
                this.handlers.noteWorker(known);
            }
            if (wasGone) {
                this.parts.logger.info("worker-listed-again", { worker: entry.id, bornMs: entry.bornMs });
            }
        }
        const link = this.links.get(entry.id);
        if (entry.state === WorkerState.Draining && link !== undefined) {
            this.handlers.noteDraining(link);
        }
    }

    private addGhost(workerId: string): WorkerLink {
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
        };
        const link = new WorkerLink(entry, this.lapsedAtMs);
        link.isGone = true;
        this.links.set(workerId, link);
        this.parts.logger.warn("worker-unlisted", { worker: workerId });
        return link;
    }

    private noteGone(id: string): void {
        const link = this.links.get(id);
        if (link !== undefined && !link.isGone) {
            link.isGone = true;
            this.parts.logger.info("worker-unlisted", { worker: id, tasks: link.tasks.size });
        }
    }
}
