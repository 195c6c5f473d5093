import { describeFailure } from "@sardinestage/errors";
import type { ReplicaEndpoint } from "@sardinestage/grant-connections";
import type { VmRecord } from "@sardinestage/types";
import type { WorkerContext } from "./workerContext.js";
import { WorkerControl } from "./workerControl.js";

/** Rounds of one worker are at least so far apart, so that many new bindings are taken together; in milliseconds. */
const MIN_ROUND_GAP_MS = 20;

interface RunningControl {
    readonly control: WorkerControl;
    wake: () => void;
    stopped: boolean;
}

/** The controls of all workers of this failure domain, each in a loop of its own. */
export class WorkerFleet {
    private readonly controls = new Map<string, RunningControl>();

    constructor(private readonly context: WorkerContext) {}

    /** Starts and stops controls so that each listed worker has one. */
    updateWorkers(listed: readonly VmRecord[]): void {
        const names = new Set(listed.map(vm => vm.vm));
        for (const vm of listed) {
            if (!this.controls.has(vm.vm)) {
                this.startControl(vm);
            }
        }
        for (const [worker, running] of this.controls) {
            // Bound tasks still need their worker condemned, so its control stays until they are released.
            if (!names.has(worker) && this.context.stream.ledger.listBound(worker).size === 0) {
                this.stopControl(worker, running);
            }
        }
    }

    /** Lets a worker's next round begin at once. */
    wakeWorker(worker: string): void {
        this.controls.get(worker)?.wake();
    }

    /** A worker's control. */
    findControl(worker: string): WorkerControl | undefined {
        return this.controls.get(worker)?.control;
    }

    /** Controls of the workers that this process holds. */
    listHeld(): WorkerControl[] {
        return [...this.controls.values()].map(running => running.control).filter(control => control.isHeld());
    }

    /** Workers whose lease this process has, whether or not the log says so yet. */
    listLeased(): string[] {
        return [...this.controls].filter(([, { control }]) => control.getToken() !== undefined).map(([name]) => name);
    }

    /** Workers that don't answer. */
    listSilent(): string[] {
        return [...this.controls].filter(([, { control }]) => control.getSilentSinceMs() !== undefined).map(([name]) =>
            name
        );
    }

    /** Replicas on held workers that take requests. */
    listEndpoints(): ReplicaEndpoint[] {
        return [...this.controls.values()].flatMap(running => running.control.listEndpoints());
    }

    /** Ends all rounds and gives the leases back. */
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
