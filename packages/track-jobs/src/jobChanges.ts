import type { ChangedRecord } from "./changedRecord.js";
import { ChangedRecordKind } from "./changedRecordKind.js";
import type { Job } from "./job.js";
import type { Occurrence } from "./occurrence.js";
import { PartKey } from "./partKey.js";
import type { StepRun } from "./stepRun.js";

/**
 * Tracks which records of a job's progress have changed. A small job has one record. A partitioned job has a record of
 * its own state and one for each range of tasks, so that a change costs what has changed and no record outgrows the
 * store's limit.
 */
export class JobChanges {
    /** Keys and steps of the parts that have changed. */
    private readonly changed = new Map<string, { readonly key: PartKey; readonly step: StepRun }>();
    /** Keys of the parts that the store may have, by occurrence. */
    private readonly stored = new Map<number, Set<string>>();
    private obsolete: string[] = [];
    private isStateChanged = true;

    constructor(private readonly job: Job) {}

    /** Notes that a task's record has changed. */
    notePart(step: StepRun, taskIndex: number): void {
        if (this.job.isPartitioned && !this.job.isFinished) {
            const { number } = step.occurrence;
            const key = new PartKey(this.job.id, number, step.number, PartKey.findPart(taskIndex));
            this.changed.set(key.format(), { key, step });
        }
    }

    /** Notes that the job's own state has changed. */
    noteState(): void {
        this.isStateChanged = true;
    }

    /** Notes that the job's own state is as the store has it. */
    noteStateLoaded(): void {
        this.isStateChanged = false;
    }

    /** Notes that a part is as the store has it. */
    noteLoaded(key: PartKey): void {
        this.noteStored(key);
        this.changed.delete(key.format());
    }

    /** Notes a part in the store that is of no use any more. */
    noteObsolete(key: PartKey): void {
        this.obsolete.push(key.format());
    }

    /** Notes that an occurrence is done, so that its parts are obsolete. */
    noteOccurrenceDone(occurrence: Occurrence): void {
        this.dropParts(occurrence.number);
        this.isStateChanged = true;
    }

    /**
     * Takes the changes since the last call, in the order in which they have to be written. An earlier version kept the
     * tasks in the job's own record, so that one is rewritten only after the parts; and a part is dropped only after
     * the job's own record says that the part is obsolete.
     */
    takeChanged(): readonly ChangedRecord[] {
        const { job } = this;
        const own = { kind: ChangedRecordKind.Job, key: job.id };
        if (!job.isPartitioned) {
            return [own];
        }
        if (job.isFinished) {
            [...this.stored.keys()].forEach(number => this.dropParts(number));
            this.changed.clear();
        }
        const parts = [...this.changed].map(([key, part]) => ({ kind: ChangedRecordKind.Part, key, part }));
        parts.forEach(({ part }) => this.noteStored(part.key));
        const dropped = this.obsolete.map(key => ({ kind: ChangedRecordKind.Dropped, key }));
        const changed = [...parts, ...this.isStateChanged ? [own] : [], ...dropped];
        this.changed.clear();
        this.obsolete = [];
        this.isStateChanged = false;
        return changed;
    }

    private noteStored(key: PartKey): void {
        const keys = this.stored.get(key.occurrence) ?? new Set<string>();
        this.stored.set(key.occurrence, keys.add(key.format()));
    }

    private dropParts(occurrence: number): void {
        this.obsolete.push(...this.stored.get(occurrence) ?? []);
        this.stored.delete(occurrence);
        for (const [formatted, { key }] of this.changed) {
            if (key.occurrence === occurrence) {
                this.changed.delete(formatted);
            }
        }
    }
}
