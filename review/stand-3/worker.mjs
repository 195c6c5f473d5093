// Stand-in of a worker (PROTOCOL.md, "Running tasks" and "Service discovery"), over HTTP on the real clock.
import { createServer } from "node:http";
import { send, wait } from "./store.mjs";

const HOLD_MAX_MS = 6000;
const STOP_MS = 300;
const GANG_TIMEOUT_MS = 3000;
const MAX_ENDS = 500;
const MAX_WAIT_MS = 2000;

export class Worker {
    /** Decides on each call: may return { delayMs }, { silent }, { late: ms } (carried out late and unanswered). */
    trouble = () => undefined;

    /**
     * @param world Shared by all workers: `findStep(task)` returns the step of a task and the duration of its run,
     *   `record(event)` notes what happens, `gangs` is a map.
     */
    constructor(id, world, { host, zone, rack, service, cpu = 16_000, memory = 64_000, oneWayMs = 1 }) {
        Object.assign(this, { id, world, host, zone, rack, service, cpu, memory, oneWayMs });
        this.reset();
    }

    reset() {
        this.born = Date.now();
        this.startedAt = performance.now();
        this.fence = 0;
        this.runs = new Map();
        this.ends = [];
        this.endCount = 0;
        this.refused = new Map();
        this.leaseUntil = 0;
        this.waiters = new Set();
        this.seq = 0;
        this.life = (this.life ?? 0) + 1;
    }

    async listen(port = 0) {
        this.server = createServer((request, response) => void this.serve(request, response));
        this.server.keepAliveTimeout = 60_000;
        await new Promise(resolve => this.server.listen(port, this.host, resolve));
        this.port = this.server.address().port;
        this.leaseTimer = setInterval(() => this.checkLease(), 20);
        return this;
    }

    close() {
        clearInterval(this.leaseTimer);
        this.server.closeAllConnections();
        this.server.close();
    }

    /** Ends the life: nothing runs any more and nothing is known. */
    crash() {
        for (const run of this.runs.values()) {
            this.dropRun(run, "gone");
        }
        this.close();
    }

    async restart() {
        const { port } = this;
        this.reset();
        await this.listen(port);
    }

    get clock() {
        return Math.floor(performance.now() - this.startedAt) + 1000;
    }

    describe(state = "ready") {
        this.seq++;
        const more = state === "draining" ? { remaining_ms: 4000 } : {};
        return JSON.stringify({
            service: this.service,
            address: `${this.host}:${this.port}`,
            zone: this.zone,
            version: "1",
            slots: 8,
            state,
            cold_remaining_ms: 0,
            seq: this.seq,
            born: this.born,
            labels: ["a", this.rack],
            capacity: { cpu: this.cpu, mem_mb: this.memory, gpu: 0 },
            ...more,
        });
    }

    async serve(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const { life } = this;
        const path = request.url;
        const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString());
        const trouble = this.trouble(path, body) ?? {};
        if (trouble.silent) {
            return;
        }
        if (trouble.late !== undefined) {
            setTimeout(() => life === this.life && this.handle(path, body, request), trouble.late);
            return;
        }
        await wait(this.oneWayMs + (trouble.delayMs ?? 0));
        if (life !== this.life) {
            return;
        }
        const [status, answer] = await this.handle(path, body, request);
        await wait(this.oneWayMs);
        send(response, status, { ...answer, clock_ms: this.clock, born: this.born });
    }

    async handle(path, body, request) {
        const expected = request.headers["expect-instance"];
        if (expected !== undefined && expected !== this.id) {
            return [421, {}];
        }
        const fence = body.fence ?? 0;
        if (fence < this.fence) {
            return [409, { reason: "fence" }];
        }
        this.fence = fence;
        switch (path) {
            case "/-/run-start":
                return this.start(body);
            case "/-/run-stop":
                return this.stop(body);
            case "/-/hold":
                return this.hold(body);
            case "/-/pace":
                return [200, {}];
            default:
                return [404, {}];
        }
    }

    extendLease(deadline) {
        if (deadline !== undefined) {
            this.leaseUntil = Math.max(this.leaseUntil, Math.min(deadline, this.clock + HOLD_MAX_MS));
        }
    }

    start({ task, run, spec, deadline_ms, last_checkpoint }) {
        const key = `${task}#${run}`;
        if (this.runs.has(key)) {
            this.extendLease(deadline_ms);
            return [200, {}];
        }
        if (deadline_ms <= this.clock) {
            return [409, { reason: "late" }];
        }
        this.extendLease(deadline_ms);
        if (run <= (this.refused.get(task) ?? 0)) {
            return [409, { reason: "old" }];
        }
        const found = this.world.findStep(task, run);
        const { step } = found;
        const used = [...this.runs.values()].reduce((sum, each) => sum + (each.step.fills ? 0 : each.step.cpu ?? 0), 0);
        const usedMemory = [...this.runs.values()].reduce((sum, each) => sum + (each.step.mem_mb ?? 0), 0);
        const isOver = (!step.fills && used + (step.cpu ?? 0) > this.cpu)
            || usedMemory + (step.mem_mb ?? 0) > this.memory;
        if (isOver) {
            this.world.record({ kind: "refused", reason: "room", task, run, worker: this.id });
            return [409, { reason: "room" }];
        }
        const entry = {
            key,
            task,
            run,
            step,
            startedAt: performance.now(),
            durationMs: found.durationMs,
            fails: found.fails,
        };
        this.runs.set(key, entry);
        this.world.record({ kind: "start", task, run, worker: this.id, spec, last_checkpoint, fence: this.fence });
        if (step.gang) {
            this.joinGang(entry);
        }
        else {
            this.work(entry);
        }
        return [200, {}];
    }

    work(entry) {
        entry.worksAt = performance.now();
        if (!entry.step.long_running) {
            entry.timer = setTimeout(() => this.finish(entry, entry.fails ? "failed" : "done"), entry.durationMs);
        }
        else if (entry.fails) {
            entry.timer = setTimeout(() => this.finish(entry, "failed"), entry.durationMs);
        }
    }

    joinGang(entry) {
        const [job, k, step] = entry.task.split(".");
        const key = `${job}.${k}.${step}#${entry.run}`;
        const gang = this.world.gangs.get(key) ?? { members: [] };
        this.world.gangs.set(key, gang);
        gang.members.push({ worker: this, entry });
        entry.gang = gang;
        entry.timer = setTimeout(() => this.finish(entry, "alone"), GANG_TIMEOUT_MS);
        if (gang.members.length === entry.step.count) {
            gang.isWorking = true;
            gang.members.forEach(member => {
                clearTimeout(member.entry.timer);
                member.entry.worksAt = performance.now();
            });
            gang.timer = setTimeout(() => {
                const { members } = gang;
                gang.members = [];
                if (entry.fails) {
                    members[0].worker.finish(members[0].entry, "failed");
                    members.slice(1).forEach(member => member.worker.finish(member.entry, "broken"));
                }
                else {
                    members.forEach(member => member.worker.finish(member.entry, "done"));
                }
            }, entry.durationMs);
        }
    }

    leaveGang(entry) {
        const { gang } = entry;
        if (gang === undefined) {
            return;
        }
        gang.members = gang.members.filter(member => member.entry !== entry);
        if (gang.isWorking) {
            clearTimeout(gang.timer);
            const others = gang.members;
            gang.members = [];
            others.forEach(member => member.worker.finish(member.entry, "broken"));
        }
    }

    finish(entry, how) {
        if (this.runs.get(entry.key) !== entry) {
            return;
        }
        this.dropRun(entry, how);
        this.refused.set(entry.task, Math.max(entry.run, this.refused.get(entry.task) ?? 0));
        this.endCount++;
        const saved = entry.step.saves_progress && how !== "done" ? `${entry.task}@${this.endCount}` : "";
        this.ends.push([this.endCount, entry.task, entry.run, how, saved]);
        this.waiters.forEach(wake => wake());
    }

    dropRun(entry, how) {
        clearTimeout(entry.timer);
        clearTimeout(entry.stopTimer);
        this.runs.delete(entry.key);
        this.world.record({ kind: "end", task: entry.task, run: entry.run, worker: this.id, how });
        this.leaveGang(entry);
    }

    stop({ task, run }) {
        this.world.record({ kind: "stop", task, run, worker: this.id });
        const entry = this.runs.get(`${task}#${run}`);
        if (entry !== undefined && entry.stopTimer === undefined) {
            entry.stopTimer = setTimeout(() => this.finish(entry, "stopped"), STOP_MS);
        }
        this.refused.set(task, Math.max(run, this.refused.get(task) ?? 0));
        return [200, {}];
    }

    async hold({ deadline_ms, last_seen = 0, wait_ms = 0 }) {
        this.extendLease(deadline_ms);
        for (const [number, task, run, how] of this.ends.filter(([each]) => each <= last_seen)) {
            this.world.record({ kind: "noted", number, task, run, how, worker: this.id });
        }
        this.ends = this.ends.filter(([number]) => number > last_seen);
        if (wait_ms > 0 && this.ends.length === 0) {
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.waiters.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, Math.min(MAX_WAIT_MS, wait_ms));
                this.waiters.add(wake);
            });
        }
        const running = [...this.runs.values()].map(({ task, run, step, worksAt, durationMs }) => {
            const share = worksAt === undefined
                ? 0
                : Math.min(1, (performance.now() - worksAt) / Math.max(1, durationMs));
            return [
                task,
                run,
                "",
                step.long_running ? 100 : Math.floor(share * 99),
                step.target_ms ? 5 : step.cpu ?? 0,
            ];
        });
        return [200, { running, ended_runs: this.ends.slice(0, MAX_ENDS) }];
    }

    checkLease() {
        if (this.runs.size > 0 && this.clock > this.leaseUntil) {
            [...this.runs.values()].forEach(entry => this.finish(entry, "lapsed"));
        }
    }
}
