import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import type { QueueConfig, StepSpec } from "@sardinestage/describe-work";
import { createStep } from "@sardinestage/emulate-platform";
import type { StepDemand, WorkerCapacity } from "@sardinestage/plan-starts";
import { compareDemands } from "@sardinestage/plan-starts";
import type { StepRun } from "@sardinestage/track-jobs";
import { Job, openDueOccurrences, TaskPhase } from "@sardinestage/track-jobs";
import { createQueue } from "../testing/createQueue.js";
import { createTrackedWorker } from "../testing/createTrackedWorker.js";
import { CapacityShares } from "./capacityShares.js";

const NOW_MS = 5000;
const ON_TIME = { slackMs: 5000, lateSlackMs: 9000 };
const LATE = { slackMs: -10, lateSlackMs: 9000 };
const USELESS = { slackMs: -9000, lateSlackMs: -1 };

function createRun(id: string, queue: Partial<QueueConfig>, changes: Partial<StepSpec>): StepRun {
    const spec = { payload: "", steps: [createStep(changes)], repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
    const job = new Job(id, spec, createQueue(queue), 1);
    openDueOccurrences(job, 1);
    return [...job.openOccurrences.values()][0].steps[0];
}

/** A service of which some tasks run on one worker and others wait. */
class SharesScene {
    readonly lines: { readonly event: string; readonly fields: object }[] = [];
    readonly metrics = new Metrics();
    private readonly worker = createTrackedWorker("w0");
    private readonly demands: StepDemand[] = [];
    private readonly shares: CapacityShares;

    constructor(private readonly freeCpuMillis: number) {
        const note = (event: string, fields: object = {}) => this.lines.push({ event, fields });
        const logger = { info: note, warn: note, error: note };
        this.shares = new CapacityShares({ logger, metrics: this.metrics, listWorkers: () => [this.worker] });
    }

    run(queue: string, step: Partial<StepSpec>): this {
        createRun(`running-${queue}`, { name: queue }, step).tasks.forEach(task => {
            task.phase = TaskPhase.Running;
            this.worker.tasks.add(task);
        });
        return this;
    }

    wait(id: string, queue: Partial<QueueConfig>, step: Partial<StepSpec>, changes: Partial<StepDemand> = {}): this {
        const run = createRun(id, queue, step);
        const times = { isStarted: false, remainingMs: 1000, waitedMs: 0, ...ON_TIME };
        this.demands.push({ step: run, waiting: run.tasks, ...times, ...changes });
        return this;
    }

    stop(id: string): this {
        this.demands.filter(({ step }) => step.occurrence.job.id === id).forEach(({ step }) => step.getTask(0).run = 1);
        return this;
    }

    update(nowMs = NOW_MS): void {
        const capacity = { service: "service", freeCpuMillis: this.freeCpuMillis, bestEffortCpuMillis: 0 };
        this.shares.updateRanks(this.demands, [capacity as unknown as WorkerCapacity], nowMs);
    }

    /** Lists the ids of the waiting jobs in start order. */
    listOrder(): string[] {
        this.update();
        return [...this.demands].sort(compareDemands).map(({ step }) => step.occurrence.job.id);
    }
}

describe("The demands of queues that share capacity", () => {
    it("of a queue below its share go before more urgent ones of a queue above it", () => {
        const scene = new SharesScene(1000).run("busy", { taskCount: 6 }).run("quiet", { taskCount: 2 });
        scene.wait("busy", { name: "busy" }, {}, { slackMs: 2000 }).wait("quiet", { name: "quiet" }, {});
        expect(scene.listOrder()).toEqual(["quiet", "busy"]);
    });

    it("go by urgency while the capacity suffices for all", () => {
        const scene = new SharesScene(8000).run("busy", { taskCount: 6 }).run("quiet", { taskCount: 2 });
        scene.wait("quiet", { name: "quiet" }, {}).wait("busy", { name: "busy" }, {}, { slackMs: 2000 });
        expect(scene.listOrder()).toEqual(["busy", "quiet"]);
    });

    it("of other priorities and services have no part in the shares", () => {
        const scene = new SharesScene(1000).run("busy", { taskCount: 6 });
        scene.wait("low", { name: "low", priority: 1 }, {}).wait("busy", { name: "busy" }, {});
        scene.wait("south", { name: "south", service: "south" }, {}, { slackMs: 9000 });
        expect(scene.listOrder()).toEqual(["busy", "south", "low"]);
    });

    // Guards against tasks of a short queue that wait behind new ones of a queue that holds most of the fleet.
    it("of a short queue go before new ones of a queue whose long-running tasks hold most of the fleet", () => {
        const scene = new SharesScene(1000).run("lasting", { taskCount: 40, longRunning: true });
        scene.wait("lasting", { name: "lasting" }, { taskCount: 10, longRunning: true }, { slackMs: 0 });
        scene.wait("mixed", { name: "lasting" }, {}, { slackMs: 2000 }).wait("short", { name: "short" }, {});
        expect(scene.listOrder()).toEqual(["short", "mixed", "lasting"]);
    });

    // Guards against a burst that is within its share because capacity counts that long-running tasks never give back.
    it("share only what long-running tasks leave", () => {
        const scene = new SharesScene(1000).run("lasting", { taskCount: 40, longRunning: true })
            .run("busy", { taskCount: 3 });
        scene.wait("busy", { name: "busy" }, { taskCount: 30 }, { slackMs: 2000 }).wait("quiet", { name: "quiet" }, {});
        expect(scene.listOrder()).toEqual(["quiet", "busy"]);
    });

    it("count only free capacity that fits a waiting task", () => {
        const scene = new SharesScene(1900).run("busy", { taskCount: 3, cpuMillis: 2000 });
        scene.wait("busy", { name: "busy" }, { cpuMillis: 2000 }, { slackMs: 2000 });
        scene.wait("quiet", { name: "quiet" }, { taskCount: 2, cpuMillis: 2000 });
        expect(scene.listOrder()).toEqual(["quiet", "busy"]);
    });

    describe("that are long-running", () => {
        // Guards against shares that keep a long-running task without a run (rule 7 of docs/scarce-capacity.md).
        it("stay first if they were interrupted or have yielded for long, whatever their queue uses", () => {
            const scene = new SharesScene(1000).run("lasting", { taskCount: 40, longRunning: true });
            scene.wait("short", { name: "short" }, {});
            scene.wait("overdue", { name: "lasting" }, { longRunning: true }, { waitedMs: 2000 });
            scene.wait("interrupted", { name: "lasting" }, { longRunning: true }).stop("interrupted");
            expect(scene.listOrder()).toEqual(["interrupted", "overdue", "short"]);
        });

        it("keep the order of urgency if they were interrupted", () => {
            const scene = new SharesScene(1000).run("lasting", { taskCount: 40, longRunning: true });
            scene.wait("other", { name: "other" }, { longRunning: true });
            scene.wait("urgent", { name: "lasting" }, { longRunning: true }, { slackMs: 2000 });
            expect(scene.stop("other").stop("urgent").listOrder()).toEqual(["urgent", "other"]);
        });

        it("are never of no more use", () => {
            const scene = new SharesScene(1000).run("lasting", { taskCount: 4, longRunning: true });
            scene.wait("lasting", { name: "lasting" }, { longRunning: true });
            scene.wait("late", { name: "other" }, { longRunning: true }, USELESS);
            expect(scene.listOrder()).toEqual(["late", "lasting"]);
        });
    });

    describe("within one queue", () => {
        // Guards against a job that can't meet its target and delays one that can.
        it("go by timeliness", () => {
            const scene = new SharesScene(1000).run("busy", { taskCount: 6 }).run("quiet", { taskCount: 2 });
            scene.wait("late", { name: "quiet" }, { taskCount: 20 }, LATE).wait("on-time", { name: "quiet" }, {});
            scene.wait("busy", { name: "busy" }, {});
            expect(scene.listOrder()).toEqual(["on-time", "late", "busy"]);
        });
    });

    it("go last if their job is of no more use, and take nothing from the shares", () => {
        const scene = new SharesScene(1000).run("busy", { taskCount: 6 });
        scene.wait("useless", { name: "quiet" }, { taskCount: 500 }, USELESS).wait("late", { name: "busy" }, {}, LATE);
        scene.wait("on-time", { name: "busy" }, {});
        expect(scene.listOrder()).toEqual(["on-time", "late", "useless"]);
    });
});

describe("The reports of the shares", () => {
    function createScene(): SharesScene {
        const scene = new SharesScene(1000).run("busy", { taskCount: 6 }).run("quiet", { taskCount: 1 });
        return scene.wait("busy", { name: "busy" }, {}).wait("quiet", { name: "quiet" }, { taskCount: 10 });
    }

    it("name a queue over its share at most once a second", () => {
        const scene = createScene();
        [0, 500, 999, 1000, 1500].forEach(afterMs => scene.update(NOW_MS + afterMs));
        expect(scene.lines).toHaveLength(2);
        expect(scene.lines[0]).toMatchObject({
            event: "queue-over-share",
            fields: { queue: "busy", usedCpuMillis: 6000, shareCpuMillis: 4000, waitingCpuMillis: 1000, queuesOver: 1 },
        });
    });

    it("name no queue while none waits below its share", () => {
        const scene = new SharesScene(0).run("busy", { taskCount: 6 }).run("quiet", { taskCount: 1 });
        scene.wait("busy", { name: "busy" }, {}).update();
        expect(scene.lines).toEqual([]);
    });

    it("have gauges of each queue", async () => {
        const scene = createScene();
        scene.update();
        const text = await scene.metrics.writeText();
        expect(text).toContain("queue_used_cpu_millis{queue=\"busy\"} 6000");
        expect(text).toContain("queue_share_cpu_millis{queue=\"quiet\"} 4000");
        expect(text).toContain("queue_waiting_cpu_millis{queue=\"quiet\"} 10000");
    });
});
