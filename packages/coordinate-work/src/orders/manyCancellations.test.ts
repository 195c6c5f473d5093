import { describe, expect, it } from "@jest/globals";
import { Metrics } from "@sardinestage/count-metrics";
import type { WorkerPort } from "@sardinestage/describe-ports";
import { OrderOutcome, waitFor } from "@sardinestage/describe-ports";
import type { JobSpec } from "@sardinestage/describe-work";
import { VirtualClock } from "@sardinestage/emulate-platform";
import { createStep } from "@sardinestage/emulate-platform";
import { silentLogger } from "@sardinestage/log-events";
import { Job, openDueOccurrences } from "@sardinestage/track-jobs";
import { applyRunStart } from "@sardinestage/track-jobs";
import type { CoordinatorParts } from "../coordinatorParts.js";
import { createQueue } from "../testing/createQueue.js";
import { createTrackedWorker } from "../testing/createTrackedWorker.js";
import { OrderSender } from "./orderSender.js";

const TASKS = 200;
/** Connections to a worker, and the time that a call takes; a call that waits for a connection for long times out. */
const CONNECTIONS = 8;
const CALL_MS = 20;
const TIMEOUT_MS = 300;

/** A worker port with few connections: calls wait for a free one, within their timeout. */
class NarrowPort {
    calls = 0;
    timeouts = 0;
    private busy = 0;

    constructor(private readonly clock: VirtualClock) {}

    async stop(): Promise<OrderOutcome> {
        this.calls++;
        const untilMs = this.clock.getNow() + TIMEOUT_MS;
        while (this.busy >= CONNECTIONS) {
            await waitFor(this.clock, 5);
            if (this.clock.getNow() >= untilMs) {
                this.timeouts++;
                return OrderOutcome.Unknown;
            }
        }
        this.busy++;
        await waitFor(this.clock, CALL_MS);
        this.busy--;
        return OrderOutcome.Accepted;
    }
}

// Guards against stops that are repeated before they were sent: runs went on, and the process ran out of memory.
describe("When many tasks on a worker are cancelled at once", () => {
    it("each stop is sent once, and none times out while it waits for its turn", async () => {
        const clock = new VirtualClock();
        const port = new NarrowPort(clock);
        const sender = new OrderSender({
            clock,
            workers: port as unknown as WorkerPort,
            term: 1,
            logger: silentLogger,
            metrics: new Metrics(),
            getLoopDelay: () => 0,
            onTermLost: () => undefined,
        } as unknown as CoordinatorParts, {
            handleNotStarted: () => undefined,
            handleStarted: () => undefined,
            handleStartSettled: () => undefined,
            isClosed: () => false,
            tickets: { getTicket: () => "", dropTicket: () => undefined },
        });
        const steps = [createStep({ taskCount: TASKS })];
        const spec: JobSpec = { payload: "", steps, repeatCount: 0, firstRunMs: 0, intervalMs: 0 };
        const job = new Job("job", spec, createQueue(), clock.getWallTime());
        openDueOccurrences(job, clock.getWallTime());
        const worker = createTrackedWorker("w");
        for (const task of job.listTasks()) {
            applyRunStart(task, "w", 1, 0);
            worker.tasks.add(task);
            sender.sendStop(task, worker, "job-ended");
        }
        await clock.runFor(5000);
        expect({ calls: port.calls, timeouts: port.timeouts }).toEqual({ calls: TASKS, timeouts: 0 });
    });
});
