import { TopicFollower } from "@sardinestage/follow-topic";
import type { CoordinatorParts } from "../coordinatorParts.js";
import type { JobRegistry } from "../jobs/jobRegistry.js";
import type { LearnedEstimates } from "../records/learnedEstimates.js";
import { loadProgress } from "../records/loadProgress.js";
import type { ProgressWriter } from "../records/progressWriter.js";
import type { StoredProgress } from "../records/storedProgress.js";
import { followedTopics } from "./followedTopics.js";

/** What a takeover fills while it reads. */
interface TakeoverTargets {
    readonly writer: ProgressWriter;
    readonly learned: LearnedEstimates;
    readonly jobs: JobRegistry;
    readonly jobsFollower: TopicFollower;
    readonly workersFollower: TopicFollower;
    /** Called once the list of workers has been read, whatever else is still to be read. */
    readonly noteWorkersLoaded: () => void;
}

/**
 * Reads from the store what a takeover needs, in as many tries as it takes. What one try has read isn't read again, so
 * that a part of the store that can't be reached delays nothing else.
 */
export class TakeoverReads {
    /** The recorded progress of jobs that haven't ended, by job id. */
    readonly progress = new Map<string, StoredProgress>();
    private readonly createdAtMs: number;
    private fencedAtMs: number | undefined;
    private readAtMs: number | undefined;
    private tries = 0;
    private pending: readonly (() => Promise<boolean>)[];
    /** When the last try began, in steady milliseconds. */
    triedAtMs: number;

    constructor(private readonly parts: CoordinatorParts, private readonly targets: TakeoverTargets) {
        this.createdAtMs = parts.clock.getNow();
        this.triedAtMs = this.createdAtMs;
        this.pending = [() => this.loadProgress(), () => this.loadJobs(), () => this.loadWorkers()];
    }

    /** Tries what is left. Returns whether nothing is left; if not, it may be called again. */
    async run(): Promise<boolean> {
        const { clock } = this.parts;
        this.tries++;
        this.triedAtMs = clock.getNow();
        if (this.fencedAtMs === undefined) {
            if (!await this.targets.writer.open()) {
                return false;
            }
            this.fencedAtMs = clock.getNow();
        }
        const tried = this.pending;
        const outcomes = await Promise.all(tried.map(load => load()));
        this.pending = tried.filter((_load, index) => !outcomes[index]);
        this.readAtMs = clock.getNow();
        return this.pending.length === 0;
    }

    /** Describes the last try, for the log. */
    describeTry() {
        return {
            tries: this.tries,
            step: this.fencedAtMs === undefined ? "fence" : "read",
            tookMs: Math.round(this.parts.clock.getNow() - this.triedAtMs),
        };
    }

    /** Describes how long the steps of the takeover took, for the log. */
    describeTimes() {
        const nowMs = this.parts.clock.getNow();
        const fencedAtMs = this.fencedAtMs ?? nowMs;
        const readAtMs = this.readAtMs ?? nowMs;
        return {
            tries: this.tries,
            fencedMs: Math.round(fencedAtMs - this.createdAtMs),
            readMs: Math.round(readAtMs - fencedAtMs),
            appliedMs: Math.round(nowMs - readAtMs),
            tookMs: Math.round(nowMs - this.createdAtMs),
        };
    }

    /** Loads the progress of all jobs. What a try that failed midway has read isn't kept. */
    private loadProgress(): Promise<boolean> {
        this.progress.clear();
        const { learned, jobs } = this.targets;
        return new TopicFollower({
            ...this.parts,
            ...followedTopics.progress,
            takeRecord: record => loadProgress(this.parts, learned, jobs, this.progress, record),
        }).load();
    }

    private async loadJobs(): Promise<boolean> {
        const { jobsFollower } = this.targets;
        const isLoaded = await jobsFollower.load();
        if (isLoaded) {
            void jobsFollower.run();
        }
        return isLoaded;
    }

    private async loadWorkers(): Promise<boolean> {
        const { workersFollower, noteWorkersLoaded } = this.targets;
        const isLoaded = await workersFollower.load();
        if (isLoaded) {
            noteWorkersLoaded();
            void workersFollower.run();
        }
        return isLoaded;
    }
}
