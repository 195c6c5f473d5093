import type { TaskSpec, WorkerTask } from "@sardinestage/types";
import { RunState } from "@sardinestage/types";
import type { TaskModel } from "./taskModel.js";

/** One attempt of a task on a stand-in worker. */
export class StandInTask {
    state = RunState.Running;
    progress = 0;
    checkpoint: string | undefined;
    throttle = 0;
    /** Requests that are queued or being processed at this replica. */
    openRequests = 0;
    readonly model: TaskModel;
    private readonly latencies: number[] = [];

    constructor(
        readonly spec: TaskSpec,
        readonly generation: number,
        readonly attempt: number,
        public leaseUntilMs: number,
        checkpoint: string | undefined,
    ) {
        this.model = parseModel(spec.payload);
        this.checkpoint = checkpoint;
        this.progress = checkpoint === undefined ? 0 : Number(checkpoint);
    }

    /**
     * Advances a batch task's progress.
     *
     * @param speed Share of full speed, before throttling.
     */
    run(elapsedMs: number, speed: number): void {
        if (this.model.workMs !== undefined) {
            this.progress = Math.min(1, this.progress + elapsedMs * speed * (1 - this.throttle) / this.model.workMs);
        }
    }

    /** Records the latency of a request. */
    recordLatency(milliseconds: number): void {
        this.latencies.push(milliseconds);
    }

    /** Returns the mean latency and the number of requests since the last call, and resets both. */
    takeLatencies(): { mean: number; count: number } {
        const taken = this.latencies.splice(0);
        const sum = taken.reduce((total, each) => total + each, 0);
        return { mean: taken.length === 0 ? 0 : sum / taken.length, count: taken.length };
    }

    /** Describes the attempt in the form in which the worker reports it. */
    describe(): WorkerTask {
        const { spec, generation, attempt, state, progress, checkpoint, throttle } = this;
        return { taskId: spec.taskId, generation, attempt, state, spec, progress, checkpoint, throttle };
    }
}

function parseModel(payload: string): TaskModel {
    return payload === "" ? {} : JSON.parse(payload) as TaskModel;
}
