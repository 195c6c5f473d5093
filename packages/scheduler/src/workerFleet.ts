import { describeFailure } from "@sardinestage/errors";
import type { ReplicaEndpoint } from "@sardinestage/grant-connections";
import type { VmRecord } from "@sardinestage/types";
import type { WorkerContext } from "./workerContext.js";
import { WorkerControl } from "./workerControl.js";

/** Shortest time between two rounds of a worker, in milliseconds, so that one round covers many new bindings. */
const MIN_ROUND_GAP_MS = 20;

interface RunningControl {
    readonly control: WorkerControl;
    wake: () => void;
    stopped: boolean;
}

/** Runs a control for each worker of this failure domain, each in its own loop. */
export class WorkerFleet {
    private readonly controls = new Map<string, RunningControl>();

    constructor(private readonly context: WorkerContext) {}

    /** Starts a control for each newly listed worker, and stops those of workers that are no longer listed. */
    updateWorkers(listed: readonly VmRecord[]): void {
        const names = new Set(listed.map(vm => vm.vm));
        for (const vm of listed) {
            if (!this.controls.has(vm.vm)) {
                this.startControl(vm);
            }
        }
        for (const [worker, running] of this.controls) {
            // Tasks that are still bound are released by condemning their worker, which needs the control until then.
            if (!names.has(worker) && this.context.stream.ledger.listBound(worker).size === 0) {
                this.stopControl(worker, running);
            }
        }
    }

    /** Starts a worker's next round without waiting for the rest of its pause. */
    wakeWorker(worker: string): void {
        this.controls.get(worker)?.wake();
    }

    /** The control of a worker, or `undefined` when the worker has none. */
    findControl(worker: string): WorkerControl | undefined {
        return this.controls.get(worker)?.control;
    }

    /** Controls of the workers whose lease this process has and whose hold record it has read back from the log. */
    listHeld(): WorkerControl[] {
        return [...this.controls.values()].map(running => running.control).filter(control => control.isHeld());
    }

    /** Workers whose lease this process has, including those whose hold record has not been read back from the log. */
    listLeased(): string[] {
        return [...this.controls].filter(([, { control }]) => control.getToken() !== undefined).map(([name]) => name);
    }

    /** Workers that do not answer this process. */
    listSilent(): string[] {
        return [...this.controls].filter(([, { control }]) => control.getSilentSinceMs() !== undefined).map(([name]) =>
            name
        );
    }

    /** Replicas on leased workers that accept requests. */
    listEndpoints(): ReplicaEndpoint[] {
        return [...this.controls.values()].flatMap(running => running.control.listEndpoints());
    }

    /** Stops the loops of all workers and releases their leases. */
    async drain(): Promise<void> {
        const controls = [...this.controls.entries()];
        controls.forEach(([worker, running]) => this.stopControl(worker, running));
        await Promise.all(controls.map(([, { control }]) => control.release()));
    }

    private startControl(vm: VmRecord): void {
        const running: RunningControl = {
            control: new WorkerControl(this.context, vm),
            wake: () => {},
            stopped: false,
        };
        this.controls.set(vm.vm, running);
        void this.runRounds(running);
    }

    private stopControl(worker: string, running: RunningControl): void {
        running.stopped = true;
        running.wake();
        this.controls.delete(worker);
        this.context.behaviour.dropWorker(worker);
    }

    private async runRounds(running: RunningControl): Promise<void> {
        const { renewMs } = this.context.settings.leases;
        while (!running.stopped) {
            try {
                await running.control.run();
            }
            catch (failure) {
                this.context.logger.error("worker-round-failed", {
                    worker: running.control.vm.vm,
                    reason: describeFailure(failure),
                });
            }
            await new Promise(resolve => setTimeout(resolve, MIN_ROUND_GAP_MS));
            await this.waitForNextRound(running, renewMs - MIN_ROUND_GAP_MS);
        }
    }

    private waitForNextRound(running: RunningControl, pauseMs: number): Promise<void> {
        return new Promise(resolve => {
            const timer = setTimeout(resolve, pauseMs);
            running.wake = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }
}
