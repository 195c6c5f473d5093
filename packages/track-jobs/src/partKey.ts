/** Prefix of the keys of progress parts; it sorts after all job ids, so that pages of job records stay short. */
const PREFIX = "part/";
/** Tasks of a step in one part: few enough that a change costs little and that long checkpoints fit a record. */
const TASKS_PER_PART = 64;

/** The key of a part of a job's progress: the tasks of one step in a range of indexes. */
export class PartKey {
    constructor(
        readonly jobId: string,
        readonly occurrence: number,
        readonly step: number,
        /** Number of the part within the step, from 0. */
        readonly part: number,
    ) {}

    /** Finds the part that a task belongs to. */
    static findPart(taskIndex: number): number {
        return Math.floor(taskIndex / TASKS_PER_PART);
    }

    /** Parses a key that `format` returned; undefined for any other key. */
    static parse(key: string): PartKey | undefined {
        const fields = key.startsWith(PREFIX) ? key.slice(PREFIX.length).split("/") : [];
        const [occurrence, step, part] = fields.slice(-3).map(Number);
        const isValid = fields.length === 4 && [occurrence, step, part].every(Number.isSafeInteger);
        return isValid ? new PartKey(fields[0], occurrence, step, part) : undefined;
    }

    /** Index of the part's first task. */
    get firstIndex(): number {
        return this.part * TASKS_PER_PART;
    }

    /** Index after the part's last task; the step may have fewer tasks. */
    get endIndex(): number {
        return this.firstIndex + TASKS_PER_PART;
    }

    /** Formats the key for the store. */
    format(): string {
        return `${PREFIX}${this.jobId}/${this.occurrence}/${this.step}/${this.part}`;
    }
}
