import { createServer } from "node:http";
import { CHECKPOINT_MS, HEARTBEAT_MS, HOLD_MAX_MS, MISSED_HEARTBEATS } from "./constants.mjs";
import { readBody, sendJson } from "./http.mjs";

/** The most run ends in one report. */
const MAX_REPORTED_ENDS = 500;
const MAX_WAIT_MS = 2000;
/** A task that lasts is at work after this time, in milliseconds. */
const STARTUP_MS = 300;

/**
 * A worker of the platform. A task's `spec` is JSON that says what the task does: `ms` (its work), `cpu` (thousandths of
 * a core, which the worker knows from the platform), `saves` and `lasts`.
 */
export class Worker {
    /**
     * @param options `id`, `store`, `recorder`, `service`, `zone`, `cpu`, `guards` (whether it refuses what doesn't fit)
     *   and `stopMs` (how long a stop takes).
     */
    constructor(options) {
        this.options = { cpu: 16_000, memoryMb: 64_000, guards: true, stopMs: 300, labels: ["a", "r1"], ...options };
        this.sequence = 0;
        this.isAnnounced = true;
        this.sockets = new Set();
        this.begin();
    }

    get id() {
        return this.options.id;
    }

    /** Begins a life of the worker: it holds and knows nothing of before, and its counts start anew. */
    begin() {
        this.born = Date.now();
        this.startedAtMs = performance.now();
        this.fence = 0;
        this.leaseUntilMs = 0;
        this.hasLease = false;
        this.running = new Map();
        this.ended = [];
        this.lastEndNumber = 0;
        this.highestRuns = new Map();
        this.waiters = new Set();
        this.isUp = true;
        this.options.recorder.note("worker-begins", { worker: this.id, born: this.born });
    }

    /** Listens on a free port and writes the first heartbeat. */
    async listen() {
        this.server = createServer((request, response) => {
            this.handle(request, response).catch(() => response.destroy());
        });
        this.server.keepAliveTimeout = 60_000;
        this.server.on("connection", socket => {
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        await new Promise(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.port = this.server.address().port;
        this.beat();
        this.beatTimer = setInterval(() => this.beat(), HEARTBEAT_MS);
        this.leaseTimer = setInterval(() => this.expireLease(), 10);
    }

    /** Whether heartbeats reach the store. After three missed ones the store drops the entry. */
    setAnnounced(isAnnounced) {
        this.isAnnounced = isAnnounced;
        clearTimeout(this.dropTimer);
        if (isAnnounced) {
            this.beat();
        }
        else {
            const dropMs = HEARTBEAT_MS * MISSED_HEARTBEATS;
            this.dropTimer = setTimeout(() => this.options.store.write("keyed.servers", this.id, undefined), dropMs);
        }
    }

    /**
     * Loses power: all runs end, nothing is reported, and connections stay open without an answer.
     */
    losePower() {
        this.isUp = false;
        for (const run of this.running.values()) {
            clearTimeout(run.timer);
            this.noteEnd(run, "power");
        }
        this.running.clear();
        this.oldSockets = new Set(this.sockets);
        this.options.recorder.note("worker-loses-power", { worker: this.id });
    }

    /**
     * Starts again under the same id and address. Connections from before are unknown to it: it resets them when
     * something arrives on them.
     */
    restart() {
        this.begin();
        this.beat();
    }

    /** Stops everything. */
    close() {
        clearInterval(this.beatTimer);
        clearInterval(this.leaseTimer);
        clearTimeout(this.dropTimer);
        [...this.running.values()].forEach(run => clearTimeout(run.timer));
        this.server.close();
        this.server.closeAllConnections();
    }

    get clockMs() {
        return Math.floor(performance.now() - this.startedAtMs);
    }

    beat() {
        if (!this.isAnnounced || !this.isUp) {
            return;
        }
        const { store, service, zone, cpu, memoryMb, labels } = this.options;
        store.write("keyed.servers", this.id, {
            service,
            address: `127.0.0.1:${this.port}`,
            zone,
            version: "v1",
            slots: 8,
            state: "ready",
            cold_remaining_ms: 0,
            capacity: { cpu, mem_mb: memoryMb, gpu: 0 },
            labels,
            clock_ms: this.clockMs,
            born: this.born,
            seq: ++this.sequence,
        });
    }

    async handle(request, response) {
        const body = await readBody(request);
        if (this.oldSockets?.has(request.socket)) {
            if (this.isUp) {
                request.socket.resetAndDestroy();
            }
            return;
        }
        if (!this.isUp) {
            // Without power nothing answers; the connection belongs to no life of the worker.
            this.oldSockets?.add(request.socket);
            return;
        }
        const { born } = this;
        const order = JSON.parse(body.toString("utf8"));
        const answer = await this.answer(request.url, order);
        if (this.isUp && this.born === born) {
            sendJson(response, answer.status, { clock_ms: this.clockMs, born: this.born, ...answer.body });
        }
    }

    answer(path, order) {
        const fence = order.fence ?? 0;
        if (fence < this.fence) {
            return { status: 409, body: { reason: "fence" } };
        }
        this.fence = fence;
        switch (path) {
            case "/-/run-start":
                return this.startRun(order);
            case "/-/run-stop":
                return this.stopRun(order);
            case "/-/hold":
                return this.hold(order);
            case "/-/pace":
                return { status: 200 };
            default:
                return { status: 404 };
        }
    }

    startRun({ task, run, spec, deadline_ms: deadlineMs, fence, last_checkpoint: checkpoint }) {
        if (deadlineMs <= this.clockMs) {
            return { status: 409, body: { reason: "late" } };
        }
        this.extendLease(deadlineMs);
        const key = task;
        if (this.running.get(key)?.run === run) {
            return { status: 200 };
        }
        if (this.running.has(key) || run <= (this.highestRuns.get(key) ?? 0)) {
            return { status: 409, body: { reason: "old" } };
        }
        const work = JSON.parse(spec);
        const usedCpu = this.computeUsedCpu();
        if (this.options.guards && usedCpu + work.cpu > this.options.cpu) {
            return { status: 409, body: { reason: "room" } };
        }
        const begun = { task, run, work, startedAtMs: performance.now(), checkpoint: checkpoint ?? "", fence };
        begun.timer = setTimeout(() => this.finishRun(begun, "done"), work.ms);
        this.running.set(key, begun);
        this.highestRuns.set(key, run);
        this.options.recorder.note("run-start", {
            task,
            run,
            worker: this.id,
            fence,
            usedCpu: usedCpu + work.cpu,
            ofCpu: this.options.cpu,
        });
        return { status: 200 };
    }

    stopRun({ task, run }) {
        const current = this.running.get(task);
        if (current !== undefined && current.run === run && !current.isStopping) {
            current.isStopping = true;
            clearTimeout(current.timer);
            this.options.recorder.note("run-stopping", { task, run, worker: this.id });
            current.timer = setTimeout(() => this.finishRun(current, "stopped"), this.options.stopMs);
        }
        this.highestRuns.set(task, Math.max(run, this.highestRuns.get(task) ?? 0));
        return { status: 200 };
    }

    async hold({ last_seen: lastSeen = 0, deadline_ms: deadlineMs, wait_ms: waitMs = 0 }) {
        if (deadlineMs !== undefined) {
            this.extendLease(deadlineMs);
        }
        const forgotten = this.ended.filter(end => end.number <= lastSeen);
        for (const { task, run, how } of forgotten) {
            this.options.recorder.note("end-noted", { task, run, worker: this.id, how, lastSeen });
        }
        this.ended = this.ended.filter(end => end.number > lastSeen);
        if (waitMs > 0 && this.ended.length === 0) {
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    resolve();
                };
                const timer = setTimeout(() => {
                    this.waiters.delete(wake);
                    resolve();
                }, Math.min(waitMs, MAX_WAIT_MS));
                this.waiters.add(wake);
            });
        }
        const running = [...this.running.values()].map(run => [
            run.task,
            run.run,
            this.computeCheckpoint(run),
            this.computePercent(run),
            0,
        ]);
        const ended = this.ended.slice(0, MAX_REPORTED_ENDS)
            .map(({ number, task, run, how, checkpoint }) => [number, task, run, how, checkpoint]);
        return { status: 200, body: { running, ended_runs: ended } };
    }

    extendLease(deadlineMs) {
        this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(deadlineMs, this.clockMs + HOLD_MAX_MS));
        this.hasLease = this.clockMs < this.leaseUntilMs;
    }

    expireLease() {
        if (this.isUp && this.hasLease && this.clockMs >= this.leaseUntilMs) {
            this.hasLease = false;
            this.options.recorder.note("lease-lapsed", { worker: this.id });
        }
        if (this.isUp && this.running.size > 0 && this.clockMs >= this.leaseUntilMs) {
            [...this.running.values()].forEach(run => this.finishRun(run, "lapsed"));
        }
    }

    finishRun(run, how) {
        clearTimeout(run.timer);
        if (this.running.get(run.task) !== run) {
            return;
        }
        this.running.delete(run.task);
        const { task, run: number, checkpoint } = run;
        this.ended.push({ number: ++this.lastEndNumber, task, run: number, how, checkpoint });
        this.noteEnd(run, how);
        const waiters = [...this.waiters];
        this.waiters.clear();
        waiters.forEach(wake => wake());
    }

    noteEnd(run, how) {
        this.options.recorder.note("run-end", { task: run.task, run: run.run, worker: this.id, how });
    }

    computeUsedCpu() {
        return [...this.running.values()].reduce((sum, run) => sum + run.work.cpu, 0);
    }

    computePercent(run) {
        if (run.work.lasts === true) {
            return performance.now() - run.startedAtMs >= STARTUP_MS ? 100 : 0;
        }
        return Math.min(99, Math.floor((performance.now() - run.startedAtMs) / run.work.ms * 100));
    }

    computeCheckpoint(run) {
        const count = Math.floor((performance.now() - run.startedAtMs) / CHECKPOINT_MS);
        return run.work.saves === true && count > 0 ? count.toString(16).padStart(16, "0") : run.checkpoint;
    }
}
