import type { Clock, StoredRecord, StorePort } from "@sardinestage/describe-ports";
import { Topic } from "@sardinestage/describe-ports";
import { JobState } from "@sardinestage/describe-work";
import type { EventLogger } from "@sardinestage/log-events";
import { CANCEL_SUFFIX, decodeFinished, decodeState } from "@sardinestage/track-jobs";
import type { JobLedger } from "./jobLedger.js";
import { KeyReader } from "./keyReader.js";
import type { StateAnswer } from "./stateAnswer.js";

/** Keys of progress that are jobs; the topic has others. */
const JOB_KEY = /^[0-9a-f]{16}$/;
/** Records of jobs that have ended are at most about this long, in bytes; longer ones are read only when asked for. */
const ENDED_BYTES = 128;

/** What a state reader works with. */
interface StateReaderParts {
    readonly store: StorePort;
    readonly clock: Clock;
    readonly logger: EventLogger;
    readonly ledger: JobLedger;
}

/**
 * Reads a job's state in the store, where the coordinator doesn't answer. An accepted job is dropped only after its end
 * was recorded in its progress. So a job that isn't among the accepted ones, and has no progress in a read that begins
 * afterwards, was never accepted, or ended long ago.
 */
export class StateReader {
    private readonly progress: KeyReader;
    private readonly jobs: KeyReader;

    constructor(private readonly parts: StateReaderParts) {
        this.progress = new KeyReader({
            ...parts,
            topic: Topic.Progress,
            name: "progress",
            noteRecord: record => this.noteEnded(record),
        });
        this.jobs = new KeyReader({
            ...parts,
            topic: Topic.Jobs,
            name: "jobs",
            noteRecord: record => this.noteAccepted(record),
        });
    }

    /**
     * Reads a job's state.
     *
     * @param untilMs When to give up, in steady milliseconds.
     * @returns Undefined when the store didn't tell in time.
     */
    async read(id: string, untilMs: number): Promise<StateAnswer | undefined> {
        const early = await this.readAgain(this.progress, id, untilMs);
        if (early === undefined || early.length > 0) {
            return this.describeProgress(id, early?.at(0));
        }
        if (!this.parts.ledger.isAccepted(id)) {
            const records = await this.readAgain(this.jobs, id, untilMs);
            if (records === undefined) {
                return undefined;
            }
            if (!records.some(({ key }) => key === id)) {
                const late = await this.readAgain(this.progress, id, untilMs);
                return late?.length === 0 ? { isAbsent: true } : this.describeProgress(id, late?.at(0));
            }
        }
        return { state: this.parts.ledger.isCancelled(id) ? JobState.Cancelled : JobState.Queued };
    }

    /** Reads a key again after a lost page while there is time: one lost page would refuse all questions that shared it. */
    private async readAgain(
        reader: KeyReader,
        key: string,
        untilMs: number,
    ): Promise<readonly StoredRecord[] | undefined> {
        let records = await reader.read(key, untilMs);
        while (records === undefined && !reader.isDoubted && this.parts.clock.getNow() < untilMs) {
            records = await reader.read(key, untilMs);
        }
        return records;
    }

    private describeProgress(id: string, record: StoredRecord | undefined): StateAnswer | undefined {
        if (record?.value === undefined) {
            return undefined;
        }
        try {
            const end = decodeFinished(record.value);
            const isCancelled = this.parts.ledger.isCancelled(id);
            return { state: end?.state ?? (isCancelled ? JobState.Cancelled : decodeState(record.value)) };
        }
        catch (failure) {
            this.parts.logger.error("progress-unreadable", { job: id, problem: String(failure) });
            return undefined;
        }
    }

    private noteEnded(record: StoredRecord): void {
        if (record.value === undefined || record.value.length > ENDED_BYTES || !JOB_KEY.test(record.key)) {
            return;
        }
        try {
            const end = decodeFinished(record.value);
            if (end !== undefined) {
                this.parts.ledger.noteEnd(record.key, end.state);
            }
        }
        catch (failure) {
            this.parts.logger.error("progress-unreadable", { job: record.key, problem: String(failure) });
        }
    }

    private noteAccepted({ key }: StoredRecord): void {
        if (key.endsWith(CANCEL_SUFFIX)) {
            this.parts.ledger.noteCancelled(key.slice(0, -CANCEL_SUFFIX.length));
        }
        else {
            this.parts.ledger.noteAccepted(key);
        }
    }
}
