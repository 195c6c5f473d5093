import type { JobSpec, StepSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import type { StepRun, Task } from "@sardinestage/track-jobs";
import { Job, openDueOccurrences, TaskPhase } from "@sardinestage/track-jobs";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { allocateCapacity } from "../allocateCapacity.js";
import type { PlacementView } from "../placementView.js";
import type { StepDemand } from "../stepDemand.js";
import type { WorkerCapacity } from "../workerCapacity.js";

const NOW_MS = 1_800_000_000_000;
const UINT32_RANGE = 0x1_0000_0000;
const WORKER_COUNT = 24;
const DEMAND_COUNT = 40;
const SERVICES = ["north", "south"];
const RACKS = ["r1", "r2", "r3", "r4"];
const LABELS = ["plain", "special"];
const IMAGES = ["a", "b", "c"];
const CPU_MILLIS = [500, 1000, 2000, 4000];
const CAPACITY_CPU_MILLIS = 16_000;
const PRIORITY_COUNT = 4;
const ESTIMATES_MS = [200, 1000, 20_000];
const PERCENTS = [0, 5, 40, 90];

/** A fleet with random active tasks and waiting demands; the same seed gives the same fleet. */
export class RandomFleet {
    /** The active tasks on each worker, by worker id. */
    readonly tasks = new Map<string, Task[]>();
    readonly workers: readonly WorkerCapacity[];
    readonly demands: readonly StepDemand[];
    private readonly generator: ReturnType<typeof xoroshiro128plus>;
    private readonly advised = new Set<string>();
    /** Latency ratio of serving tasks on every worker before interference is added. */
    private readonly baseLatencyRatio: number;
    private jobs = 0;

    constructor(seed: number) {
        this.generator = xoroshiro128plus(seed);
        this.baseLatencyRatio = this.pick([0.3, 0.6, 0.8]);
        this.workers = Array.from({ length: WORKER_COUNT }, (_unused, index) => this.createWorker(`w${index}`));
        this.demands = Array.from({ length: DEMAND_COUNT }, () => this.createDemand());
    }

    /** Whether the advice service allows a step's tasks on a worker. */
    isAdvised(task: Task, workerId: string): boolean {
        const { queue, id } = task.step.occurrence.job;
        return queue.advice === undefined || this.advised.has(`${id}/${workerId}`);
    }

    /** Estimates interference in a way that depends on the tasks that the round has already placed on the worker. */
    describePlacement(worker: WorkerCapacity, spec: StepSpec): PlacementView {
        const { image, isBestEffort, tailLatencyTargetMs } = spec;
        const interference = worker.bestEffortSpecs.reduce(
            (sum, bestEffort) => sum + (bestEffort.image === image ? 0.02 : 0.09),
            0,
        );
        const similar = worker.servingTasks.filter(servingTask => servingTask.step.spec.image === image).length;
        return {
            latencyRatio: this.baseLatencyRatio + interference + worker.servingTasks.length * 0.05,
            isInterfering: isBestEffort && image === "a",
            similarSensitivityShare: tailLatencyTargetMs === 0 || worker.servingTasks.length === 0
                ? 1
                : similar / worker.servingTasks.length,
        };
    }

    private createWorker(workerId: string): WorkerCapacity {
        const rack = this.pick(RACKS);
        const worker: WorkerCapacity = {
            workerId,
            service: this.pick(SERVICES),
            rack,
            labels: [this.pick(LABELS), rack],
            capacityCpuMillis: CAPACITY_CPU_MILLIS,
            freeCpuMillis: CAPACITY_CPU_MILLIS,
            runToCompletionCpuMillis: 0,
            runToCompletionWork: 0,
            freeMemoryMb: 30_000,
            freeAccelerators: this.pickBelow(3),
            bestEffortCpuMillis: 0,
            servingTasks: [],
            bestEffortSpecs: [],
            startsLeft: 0,
            isReserved: false,
        };
        const activeTasks = Array.from({ length: this.pickBelow(14) }, () => this.createActiveTask(workerId));
        activeTasks.forEach(task => allocateCapacity(worker, task.step, 2));
        this.tasks.set(workerId, activeTasks);
        worker.startsLeft = this.pick([0, 1, 3, 1000, 1000, 1000]);
        return worker;
    }

    private createActiveTask(workerId: string): Task {
        const isGang = this.pickBelow(8) === 0;
        const [task] = this.createStepRun({ ...this.createSpec(), taskCount: 1, gang: isGang }).tasks;
        task.phase = this.pick([TaskPhase.Running, TaskPhase.Running, TaskPhase.Ordered, TaskPhase.Stopping]);
        task.workerId = workerId;
        task.percent = this.pick(PERCENTS);
        return task;
    }

    private createDemand(): StepDemand {
        const isGang = this.pickBelow(5) === 0;
        const isLimited = this.pickBelow(4) === 0;
        const step = this.createStepRun({
            ...this.createSpec(),
            taskCount: 1 + this.pickBelow(8),
            gang: isGang,
            sameRack: isGang && this.pickBelow(2) === 0,
            maxTasksPerWorker: isLimited ? 1 + this.pickBelow(2) : 0,
        });
        step.tasks.forEach(task => this.setHistory(task));
        step.tasks[0].run = this.pickBelow(6) === 0 ? 1 : 0;
        return {
            step,
            waiting: step.tasks.filter(task => task.phase === TaskPhase.Waiting),
            isStarted: this.pickBelow(2) === 0,
            remainingMs: 1000,
            waitedMs: this.pickBelow(4) * 1000,
            slackMs: this.pickBelow(4000) - 1000,
            reservedWorkerIds: this.pickBelow(4) === 0
                ? [`w${this.pickBelow(WORKER_COUNT)}`, `w${this.pickBelow(WORKER_COUNT)}`]
                : [],
            lateSlackMs: this.pickBelow(4000) - 500,
        };
    }

    /** Makes some tasks of a step run already, and some have failed on a worker. */
    private setHistory(task: Task): void {
        const worker = `w${this.pickBelow(WORKER_COUNT)}`;
        const state = this.pickBelow(8);
        if (state === 0) {
            task.phase = TaskPhase.Running;
            task.workerId = worker;
        }
        if (state < 3) {
            task.lastFailedWorkerId = worker;
        }
    }

    private createSpec(): StepSpec {
        const kind = this.pickBelow(3);
        return createStep({
            image: this.pick(IMAGES),
            cpuMillis: this.pick(CPU_MILLIS),
            memoryMb: this.pick([500, 2000]),
            accelerators: this.pickBelow(6) === 0 ? 1 : 0,
            requiredLabel: this.pickBelow(4) === 0 ? this.pick(LABELS) : "",
            preferredRack: this.pickBelow(3) === 0 ? this.pick(RACKS) : "",
            longRunning: kind === 0,
            tailLatencyTargetMs: kind === 0 ? 100 : 0,
            isBestEffort: kind === 1,
            savesProgress: this.pickBelow(2) === 0,
            estimateMs: this.pick(ESTIMATES_MS),
        });
    }

    private createStepRun(step: StepSpec): StepRun {
        const spec: JobSpec = { payload: "", steps: [step], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        const id = `job${this.jobs++}`;
        const needsAdvice = this.pickBelow(6) === 0;
        const job = new Job(id, spec, {
            name: "queue",
            host: "",
            pathPrefix: "",
            service: this.pick(SERVICES),
            priority: this.pickBelow(PRIORITY_COUNT),
            maxAttempts: 3,
            stretch: 2,
            targetLatencyMs: 500,
            ...needsAdvice ? { advice: { decideMs: 10, eachMs: 1, validMs: 1000 } } : {},
        }, NOW_MS);
        for (let worker = 0; worker < WORKER_COUNT; worker++) {
            if (this.pickBelow(3) === 0) {
                this.advised.add(`${id}/w${worker}`);
            }
        }
        openDueOccurrences(job, NOW_MS);
        const run = job.openOccurrences.get(0)?.steps[0];
        if (run === undefined) {
            throw new Error("The first occurrence of the job isn't open.");
        }
        return run;
    }

    private pickBelow(bound: number): number {
        return Math.floor((this.generator.next() >>> 0) / UINT32_RANGE * bound);
    }

    private pick<Item>(items: readonly Item[]): Item {
        return items[this.pickBelow(items.length)];
    }
}
