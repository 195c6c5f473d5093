import { Coordinator } from "@sardinestage/coordinate-work";
import { Metrics } from "@sardinestage/count-metrics";
import type { ActiveRun, LeaseReport, WorkerPort } from "@sardinestage/describe-ports";
import { OrderOutcome, Topic } from "@sardinestage/describe-ports";
import type { QueueConfig, StepSpec } from "@sardinestage/describe-work";
import {
    createStep,
    emulatedCodec,
    EmulatedFleet,
    EmulatedWorker,
    MemoryStore,
    RunWitness,
    VirtualClock,
} from "@sardinestage/emulate-platform";
import { silentLogger } from "@sardinestage/log-events";
import { encodeJobRecord } from "@sardinestage/track-jobs";
import { WorkMeter } from "@sardinestage/watch-loop";
import { MeasuredClock } from "./measuredClock.js";

const MS_PER_SECOND = 1000;
/** The fleet for which the rates below are stated. */
const STATED_WORKERS = 342;
/** Against the stated rates: what bursts of a bad day come to. */
const BURST = 2.2;
/** Tasks that last for each worker, from the beginning. */
const LASTING_A_WORKER = 1.2;
const APPEND_TIMEOUT_MS = 1000;
const FOREVER_MS = 1e9;
const LEAST_HEADROOM = 1;
const HEADROOM_RANGE = 2;

/** Work that is handed in again and again. */
interface Flow {
    readonly queue: QueueConfig;
    /** Jobs a second for the stated fleet. */
    readonly rate: number;
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

const serving = createStep({
    taskCount: 14,
    cpuMillis: 2000,
    image: "watch",
    longRunning: true,
    tailLatencyTargetMs: 1000,
});
const short = createStep({ taskCount: 10, cpuMillis: 2800, image: "close", estimateMs: 1000 });
const filling = createStep({ taskCount: 20, cpuMillis: 1800, image: "batch", estimateMs: 2700, isBestEffort: true });
const lasting: Flow = { queue: createQueue("watch", 1, 3000), rate: 0.6, durationMs: FOREVER_MS, steps: [serving] };
const flows: readonly Flow[] = [
    lasting,
    { queue: createQueue("close", 0, 500), rate: 3, durationMs: 1000, steps: [short] },
    {
        queue: createQueue("close", 0, 500),
        rate: 4.5,
        durationMs: 1000,
        steps: [short, { ...short, dependsOn: [0] }],
    },
    {
        queue: createQueue("batch", 1, 1000),
        rate: 11.2,
        durationMs: 2700,
        steps: [filling, { ...filling, dependsOn: [0] }],
    },
];

/** A coordinator over emulated workers under the load of a busy day, as much for each worker whatever their number. */
export class CoordinatorLoad {
    readonly clock = new VirtualClock();
    private readonly metrics = new Metrics();
    private readonly store: MemoryStore;
    private readonly fleet: EmulatedFleet;
    private readonly durations = new Map<string, number>();
    private jobs = 0;

    /**
     * @param workers How many workers.
     * @param random Numbers from 0 to 1, from a seed.
     */
    constructor(private readonly workers: number, private readonly random: () => number) {
        this.store = new MemoryStore(this.clock, random);
        this.fleet = new EmulatedFleet(this.clock, random);
    }

    /** Lists the workers, hands in what lasts, starts a coordinator and keeps handing in work. */
    async open(): Promise<void> {
        const witness = new RunWitness(() => this.clock.getNow(), () => []);
        const appends: Promise<unknown>[] = [];
        for (let index = 0; index < this.workers; index++) {
            const id = `w${index}`;
            const worker = new EmulatedWorker(
                id,
                this.clock,
                witness,
                task => this.durations.get(task.jobId) ?? MS_PER_SECOND,
            );
            this.fleet.workers.set(id, worker);
            const value = Buffer.from(JSON.stringify(worker.describeEntry()));
            appends.push(this.append(Topic.Workers, id, value));
        }
        const lastingJobs = Math.ceil(this.workers * LASTING_A_WORKER / serving.taskCount);
        appends.push(...Array.from({ length: lastingJobs }, () => this.submit(lasting)));
        await this.clock.runFor(APPEND_TIMEOUT_MS);
        await Promise.all(appends);
        const opening = this.createCoordinator().open();
        await this.clock.runFor(APPEND_TIMEOUT_MS);
        if (!await opening) {
            throw new Error("The coordinator couldn't take over; see what the store answers.");
        }
        flows.forEach(flow => this.scheduleFlow(flow));
    }

    /** How many starts workers have accepted so far. */
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
                harmMs: 4500,
                paceMs: 100,
                entryReturnMs: 2000,
            },
            term: 1,
            hadUnrecordedStarts: false,
            getTermRenewalAge: () => Infinity,
            getLoopDelay: () => 0,
            meter: new WorkMeter(this.clock),
            onTermLost: reason => {
                throw new Error(`The coordinator was deposed: ${reason}.`);
            },
        });
    }

    /** Emulated workers tell no figures; without them nothing would be paced. */
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
                    running: answer.running.map(row => ({ ...row, measurement: this.pickFigure(row) })),
                };
            },
        };
    }

    private pickFigure(row: ActiveRun): number {
        if (row.task.jobId.startsWith(lasting.queue.name)) {
            return serving.tailLatencyTargetMs / (LEAST_HEADROOM + HEADROOM_RANGE * this.random());
        }
        return filling.cpuMillis * this.random();
    }

    private scheduleFlow(flow: Flow): void {
        const rate = flow.rate * BURST * this.workers / STATED_WORKERS;
        const gapMs = -Math.log(1 - this.random()) * MS_PER_SECOND / rate;
        this.clock.schedule(gapMs, () => {
            void this.submit(flow);
            this.scheduleFlow(flow);
        });
    }

    private submit(flow: Flow): Promise<unknown> {
        const id = `${flow.queue.name}-${this.jobs++}`;
        this.durations.set(id, flow.durationMs);
        const spec = { payload: "", steps: flow.steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        const acceptedAtMs = this.clock.getWallTime();
        return this.append(Topic.Jobs, id, encodeJobRecord({ spec, queue: flow.queue, acceptedAtMs }));
    }

    private append(topic: Topic, key: string, value: Uint8Array): Promise<unknown> {
        return this.store.append({ topic, records: [{ key, value }], timeoutMs: APPEND_TIMEOUT_MS });
    }
}
