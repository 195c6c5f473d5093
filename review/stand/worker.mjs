/** Stand-in of a worker, after PROTOCOL.md ("Running tasks", "Service discovery"). One object is one machine. */
import { createServer } from "node:http";

const MAX_WAIT_MS = 2000;

export class Worker {
    /**
     * @param options.id Id under which the worker registers.
     * @param options.plan Decides what becomes of a run: (task, run, worker) => { ms, end }; ms Infinity for one that lasts.
     * @param options.report Called with each event of the worker, for the record.
     */
    constructor(options) {
        Object.assign(this, {
            service: "svc",
            zone: "zone-a",
            rack: "r1",
            kind: "a",
            capacity: { cpu: 16_000, mem_mb: 64_000, gpu: 0 },
            guards: true,
            heartbeatMs: 1100,
            holdMaxMs: 6000,
            stopMs: 100,
            checkpointMs: 500,
            host: "127.0.0.1",
            port: 0,
            report: () => undefined,
            ...options,
        });
        this.lives = 0;
        this.isUp = false;
        this.seq = 0;
    }

    async start() {
        const life = {
            born: Date.now(),
            origin: performance.now(),
            highestFence: 0,
            leaseUntil: 0,
            running: new Map(),
            ended: [],
            lastEnd: 0,
            finished: new Map(),
            wakers: new Set(),
        };
        this.life = life;
        this.lives++;
        const server = createServer((request, response) => this.handle(life, request, response));
        server.keepAliveTimeout = 60_000;
        await new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(this.port, this.host, resolve);
        });
        this.port = server.address().port;
        this.server = server;
        this.isUp = true;
        this.seq = 0;
        this.state = "ready";
        this.leaseTimer = setInterval(() => this.checkLease(life), 20);
        const beat = () => {
            this.register();
            this.beatTimer = setTimeout(beat, this.heartbeatMs);
        };
        this.beatTimer = setTimeout(beat, this.registerAfterMs ?? 0);
        this.report({ event: "worker-up", worker: this.id, born: life.born, kind: this.kind });
    }

    /** Crashes: nothing is said, all connections end, everything that runs ends. */
    crash() {
        this.isUp = false;
        clearInterval(this.leaseTimer);
        clearTimeout(this.beatTimer);
        for (const run of this.life.running.values()) {
            clearTimeout(run.timer);
            this.gangs?.leave(run, "killed");
            this.report({ event: "killed", worker: this.id, task: run.task, run: run.run });
        }
        this.life.running.clear();
        this.life = undefined;
        this.server.close();
        this.server.closeAllConnections();
        this.report({ event: "worker-down", worker: this.id });
    }

    register() {
        this.seq++;
        this.store.put("keyed.servers", this.id, {
            service: this.service,
            address: `${this.host}:${this.port}`,
            zone: this.zone,
            version: "v1",
            slots: 8,
            state: this.state,
            cold_remaining_ms: 0,
            capacity: this.capacity,
            labels: [this.kind, this.rack],
            clock_ms: this.clock(this.life),
            born: this.life.born,
            seq: this.seq,
            ...this.state === "draining" && { remaining_ms: this.remainingMs },
        });
    }

    clock(life) {
        return Math.floor(performance.now() - life.origin) + 1000;
    }

    handle(life, request, response) {
        const chunks = [];
        request.on("error", () => undefined);
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            if (life !== this.life) {
                request.socket.destroy();
                return;
            }
            const reply = (status, body) => {
                const send = () => {
                    if (!response.destroyed) {
                        response.statusCode = status;
                        response.setHeader("Content-Type", "application/json");
                        response.end(JSON.stringify(body));
                    }
                };
                send();
            };
            if (request.url === "/health") {
                return reply(200, {});
            }
            if (request.headers["expect-instance"] !== undefined && request.headers["expect-instance"] !== this.id) {
                return reply(421, { clock_ms: this.clock(life), born: life.born });
            }
            let body;
            try {
                body = JSON.parse(Buffer.concat(chunks).toString());
            }
            catch {
                return reply(400, { clock_ms: this.clock(life) });
            }
            const perform = (answer = reply) => this.perform(life, request.url, body, answer);
            const late = this.delayOrder?.(request.url, body);
            if (late !== undefined) {
                // The order gets no answer and is carried out late.
                this.report({
                    event: "order-delayed",
                    worker: this.id,
                    path: request.url,
                    task: body.task,
                    run: body.run,
                    ms: late,
                });
                setTimeout(() => {
                    const reached = this.reachesNextLife ? this.life : life;
                    if (this.isUp && reached === this.life) {
                        this.perform(reached, request.url, body, () => undefined);
                    }
                }, late);
                return;
            }
            perform();
        });
    }

    perform(life, path, body, answer) {
        const reply = (status, fields = {}) =>
            answer(status, { clock_ms: this.clock(life), born: life.born, ...fields });
        const fence = body.fence ?? 0;
        if (fence < life.highestFence) {
            return reply(409, { reason: "fence" });
        }
        life.highestFence = fence;
        switch (path) {
            case "/-/run-start":
                return this.startRun(life, body, reply);
            case "/-/run-stop":
                return this.stopRun(life, body, reply);
            case "/-/hold":
                return this.hold(life, body, reply);
            case "/-/pace":
                return reply(200);
            default:
                return reply(404);
        }
    }

    extendLease(life, deadlineMs) {
        if (typeof deadlineMs === "number") {
            const until = Math.min(deadlineMs, this.clock(life) + this.holdMaxMs);
            life.leaseUntil = Math.max(life.leaseUntil, until);
        }
    }

    startRun(life, body, reply) {
        const { task, run } = body;
        const found = life.running.get(task);
        if (found !== undefined && found.run === run) {
            return reply(200);
        }
        if (this.isDenying?.(body) === true) {
            return reply(503);
        }
        if (found !== undefined || run <= (life.finished.get(task) ?? 0)) {
            this.extendLease(life, body.deadline_ms);
            return reply(409, { reason: "old" });
        }
        if (body.deadline_ms <= this.clock(life)) {
            return reply(409, { reason: "late" });
        }
        this.extendLease(life, body.deadline_ms);
        if (this.advice !== undefined && !this.advice.isValid(body.ticket, task, this.id)) {
            return reply(409, { reason: "ticket" });
        }
        const need = this.demand(task);
        const used = { cpu: 0, mem_mb: 0, gpu: 0 };
        for (const other of life.running.values()) {
            for (const name of Object.keys(used)) {
                used[name] += other.need[name];
            }
        }
        const isOver = Object.keys(used).some(name => used[name] + need[name] > this.capacity[name]);
        if (isOver && this.guards) {
            return reply(409, { reason: "room" });
        }
        const planned = this.plan(task, run, this);
        const entry = { task, run, need, saved: body.last_checkpoint ?? "", startedAt: performance.now(), planned };
        life.running.set(task, entry);
        const gang = this.gangs?.join(this, life, entry);
        if (planned.ms !== Infinity && gang === undefined) {
            entry.timer = setTimeout(() => this.endRun(life, entry, planned.end ?? "done"), planned.ms);
        }
        this.report({
            event: "start",
            worker: this.id,
            born: life.born,
            kind: this.kind,
            task,
            run,
            spec: body.spec,
            fence: body.fence,
            checkpoint: body.last_checkpoint,
            isOver,
        });
        reply(200);
    }

    stopRun(life, body, reply) {
        const { task, run } = body;
        const found = life.running.get(task);
        if (found === undefined || found.run > run) {
            life.finished.set(task, Math.max(run, life.finished.get(task) ?? 0));
        }
        else if (found.isStopping !== true) {
            found.isStopping = true;
            clearTimeout(found.timer);
            found.timer = setTimeout(() => this.endRun(life, found, "stopped"), this.stopMs);
        }
        reply(200);
    }

    endRun(life, entry, how) {
        if (life !== this.life || life.running.get(entry.task) !== entry) {
            return;
        }
        clearTimeout(entry.timer);
        life.running.delete(entry.task);
        life.finished.set(entry.task, Math.max(entry.run, life.finished.get(entry.task) ?? 0));
        this.gangs?.leave(entry, how);
        const number = ++life.lastEnd;
        life.ended.push([number, entry.task, entry.run, how, entry.saved]);
        this.report({ event: "end", worker: this.id, born: life.born, task: entry.task, run: entry.run, how, number });
        [...life.wakers].forEach(wake => wake());
    }

    hold(life, body, reply) {
        this.extendLease(life, body.deadline_ms);
        const before = life.ended.length;
        life.ended = life.ended.filter(([number]) => number > body.last_seen);
        if (before > life.ended.length) {
            this.report({ event: "seen", worker: this.id, born: life.born, upTo: body.last_seen, fence: body.fence });
        }
        const answer = () =>
            reply(200, {
                running: [...life.running.values()].map(run => [run.task, run.run, run.saved, this.percent(run), 0]),
                ended_runs: life.ended.slice(0, 500),
            });
        const waitMs = Math.min(MAX_WAIT_MS, body.wait_ms ?? 0);
        if (life.ended.length > 0 || waitMs <= 0) {
            return answer();
        }
        const finish = () => {
            clearTimeout(timer);
            life.wakers.delete(finish);
            if (life === this.life) {
                answer();
            }
        };
        const timer = setTimeout(finish, waitMs);
        life.wakers.add(finish);
    }

    percent(run) {
        const spent = performance.now() - run.startedAt;
        return run.planned.ms === Infinity ? 100 : Math.min(99, Math.floor(spent / run.planned.ms * 100));
    }

    checkLease(life) {
        if (life === this.life && life.running.size > 0 && this.clock(life) > life.leaseUntil) {
            [...life.running.values()].forEach(run => this.endRun(life, run, "lapsed"));
        }
    }
}
