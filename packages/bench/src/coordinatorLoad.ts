import type { SchedulingFeatures } from "@sardinestage/coordinate-work";
import { Coordinator, noEvacuations, noSchedulingFeatures } from "@sardinestage/coordinate-work";
import { Metrics } from "@sardinestage/count-metrics";
import type { ActiveRun, LeaseReport, WorkerPort } from "@sardinestage/describe-ports";
import { OrderOutcome, Topic } from "@sardinestage/describe-ports";
import type { QueueConfig, StepSpec } from "@sardinestage/describe-work";
import {
    createStep,
    emulatedCodec,
    EmulatedFleet,
    emulatedStoreLimits,
    EmulatedWorker,
    MemoryStore,
    RunInvariantChecker,
    VirtualClock,
} from "@sardinestage/emulate-platform";
import { silentLogger } from "@sardinestage/log-events";
import { encodeJobRecord } from "@sardinestage/track-jobs";
import { WorkMeter } from "@sardinestage/watch-loop";
import { MeasuredClock } from "./measuredClock.js";

const MS_PER_SECOND = 1000;
/** Number of workers for which the job rates below are given; they scale with the number of workers. */
const REFERENCE_WORKERS = 342;
/** Factor by which bursts on a day of high load exceed the job rates below. */
const BURST_FACTOR = 2.2;
/** Long-running tasks per worker, submitted at the start. */
const LONG_RUNNING_TASKS_PER_WORKER = 1.2;
/** How many times as long tasks take on slow workers. */
const SLOW_FACTOR = 3;
const APPEND_TIMEOUT_MS = 1000;
const FOREVER_MS = 1e9;
/** Lowest emulated headroom (target latency divided by measured latency); values span `HEADROOM_RANGE`. */
const MIN_HEADROOM = 1;
const HEADROOM_RANGE = 2;

/** A stream of similar jobs, submitted at a mean rate. */
interface JobStream {
    readonly queue: QueueConfig;
    /** Jobs per second for `REFERENCE_WORKERS` workers. */
    readonly jobsPerSecond: number;
    readonly durationMs: number;
    readonly steps: readonly StepSpec[];
}

function createQueue(name: string, priority: number, targetLatencyMs: number): QueueConfig {
    return {
        name,
        host: "host",
        pathPrefix: `/${name}/`,
        service: "service",
        priority,
        maxAttempts: 3,
        stretch: 1.5,
        targetLatencyMs,
    };
}

const servingStep = createStep({
    taskCount: 14,
    cpuMillis: 2000,
    image: "watch",
    longRunning: true,
    tailLatencyTargetMs: 1000,
});
const shortStep = createStep({ taskCount: 10, cpuMillis: 2800, image: "close", estimateMs: 1000 });
const bestEffortStep = createStep({
    taskCount: 20,
    cpuMillis: 1800,
    image: "batch",
    estimateMs: 2700,
    isBestEffort: true,
});
const servingJobs: JobStream = {
    queue: createQueue("watch", 1, 3000),
    jobsPerSecond: 0.6,
    durationMs: FOREVER_MS,
    steps: [servingStep],
};
const jobStreams: readonly JobStream[] = [
    servingJobs,
    { queue: createQueue("close", 0, 500), jobsPerSecond: 3, durationMs: 1000, steps: [shortStep] },
    {
        queue: createQueue("close", 0, 500),
        jobsPerSecond: 4.5,
        durationMs: 1000,
        steps: [shortStep, { ...shortStep, dependsOn: [0] }],
    },
    {
        queue: createQueue("batch", 1, 1000),
        jobsPerSecond: 11.2,
        durationMs: 2700,
        steps: [bestEffortStep, { ...bestEffortStep, dependsOn: [0] }],
    },
];

/** Runs a coordinator with emulated workers under the load of a busy day; the load per worker is constant. */
export class CoordinatorLoad {
    readonly clock = new VirtualClock();
    private readonly metrics = new Metrics();
    private readonly store: MemoryStore;
    private readonly fleet: EmulatedFleet;
    private readonly durations = new Map<string, number>();
    private jobs = 0;

    /**
     * @param workers Number of workers.
     * @param random Returns numbers from 0 to 1, generated from a seed.
     * @param features The optional parts of scheduling that are on.
     * @param slowEvery One of this many workers takes 3 times as long; none by default.
     */
    constructor(
        private readonly workers: number,
        private readonly random: () => number,
        private readonly features: SchedulingFeatures = noSchedulingFeatures,
        private readonly slowEvery = Infinity,
    ) {
        this.store = new MemoryStore(this.clock, random);
        this.fleet = new EmulatedFleet(this.clock, random);
    }

    /** Registers the workers, submits the long-running jobs, starts a coordinator and keeps submitting jobs. */
    async open(): Promise<void> {
        const invariantChecker = new RunInvariantChecker(() => this.clock.getNow(), () => []);
        const appends: Promise<unknown>[] = [];
        for (let index = 0; index < this.workers; index++) {
            const id = `w${index}`;
            const slowness = index % this.slowEvery === this.slowEvery - 1 ? SLOW_FACTOR : 1;
            const worker = new EmulatedWorker(
                id,
                this.clock,
                invariantChecker,
                task => (this.durations.get(task.jobId) ?? MS_PER_SECOND) * slowness,
            );
            this.fleet.workers.set(id, worker);
            const value = Buffer.from(JSON.stringify(worker.describeEntry()));
            appends.push(this.append(Topic.Workers, id, value));
        }
        const servingJobCount = Math.ceil(this.workers * LONG_RUNNING_TASKS_PER_WORKER / servingStep.taskCount);
        appends.push(...Array.from({ length: servingJobCount }, () => this.submit(servingJobs)));
        await this.clock.runFor(APPEND_TIMEOUT_MS);
        await Promise.all(appends);
        const opening = this.createCoordinator().open();
        await this.clock.runFor(APPEND_TIMEOUT_MS);
        if (!await opening) {
            throw new Error("The coordinator could not open its term; check the outcomes of the store's calls.");
        }
        jobStreams.forEach(stream => this.scheduleNextJob(stream));
    }

    /** Returns the number of start orders that workers have accepted so far. */
    async countStarts(): Promise<number> {
        const totals = await this.metrics.readTotals("starts_total");
        return totals[OrderOutcome[OrderOutcome.Accepted]] ?? 0;
    }

    private createCoordinator(): Coordinator {
        return new Coordinator({
            store: this.store,
            workers: this.createWorkerPort(),
            advice: { requestTickets: () => Promise.resolve({ tickets: undefined, validMs: 0 }) },
            vms: { list: () => Promise.resolve(undefined), startUpkeep: () => Promise.reject(new Error("unused")) },
            codec: emulatedCodec,
            clock: new MeasuredClock(this.clock),
            logger: silentLogger,
            metrics: this.metrics,
            rules: {
                leaseMs: 4500,
                maxLeaseMs: 6000,
                keepFinishedMs: 120_000,
                storeLimits: emulatedStoreLimits,
                harmMs: 4500,
                paceMs: 100,
                entryReturnMs: 2000,
                features: this.features,
            },
            evacuations: noEvacuations,
            term: 1,
            getNewestFence: () => 1,
            hadUnrecordedStarts: false,
            hasAuthority: () => true,
            earlierTerm: { actsUntilMs: 0, confirmedBeforeMs: 0 },
            getAuthorityAge: () => 0,
            getTermRenewalAge: () => Infinity,
            getLoopDelay: () => 0,
            meter: new WorkMeter(this.clock),
            onTermLost: reason => {
                throw new Error(`The coordinator lost its term: ${reason}.`);
            },
        });
    }

    /** Adds random measurements, which emulated workers don't report and without which no task is paced. */
    private createWorkerPort(): WorkerPort {
        const { fleet } = this;
        return {
            start: (worker, order) => fleet.start(worker, order),
            stop: (worker, task, run, fence) => fleet.stop(worker, task, run, fence),
            pace: () => fleet.pace(),
            renewLease: async (worker, order): Promise<LeaseReport> => {
                const answer = await fleet.renewLease(worker, order);
                return {
                    ...answer,
                    running: answer.running.map(row => ({ ...row, measurement: this.pickMeasurement(row) })),
                };
            },
        };
    }

    private pickMeasurement(row: ActiveRun): number {
        if (row.task.jobId.startsWith(servingJobs.queue.name)) {
            return servingStep.tailLatencyTargetMs / (MIN_HEADROOM + HEADROOM_RANGE * this.random());
        }
        return bestEffortStep.cpuMillis * this.random();
    }

    private scheduleNextJob(stream: JobStream): void {
        const jobsPerSecond = stream.jobsPerSecond * BURST_FACTOR * this.workers / REFERENCE_WORKERS;
        const gapMs = -Math.log(1 - this.random()) * MS_PER_SECOND / jobsPerSecond;
        this.clock.schedule(gapMs, () => {
            void this.submit(stream);
            this.scheduleNextJob(stream);
        });
    }

    private submit(stream: JobStream): Promise<unknown> {
        const id = `${stream.queue.name}-${this.jobs++}`;
        this.durations.set(id, stream.durationMs);
        const spec = { payload: "", steps: stream.steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        const acceptedAtMs = this.clock.getWallTime();
        return this.append(Topic.Jobs, id, encodeJobRecord({ spec, queue: stream.queue, acceptedAtMs }));
    }

    private append(topic: Topic, key: string, value: Uint8Array): Promise<unknown> {
        return this.store.append({ topic, records: [{ key, value }], timeoutMs: APPEND_TIMEOUT_MS });
    }
}
