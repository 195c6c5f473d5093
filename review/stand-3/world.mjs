// Starts the system's programs with the commands of the deploy file, and the stand-ins that they meet.
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Store, wait } from "./store.mjs";
import { Worker } from "./worker.mjs";

const root = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const hasTrouble = process.env.TROUBLE !== "0";
export const HOST_NAME = "case.example";
export const bounds = {
    contact_ms: 4000,
    ack_ms: 5000,
    grace_s: 6,
    hold_max_ms: 6000,
    status_s: 120,
    harm_ms: 4000,
    pace_ms: 100,
    stop_timeout_ms: 900,
    gang_timeout_ms: 3000,
    cancel_ms: 3000,
    visible_ms: 3000,
    early_ms: 250,
    config_apply_ms: 2500,
};

/** The routes and services of a small deployment. */
export const config = {
    routes: [{
        name: "q",
        host: HOST_NAME,
        path_prefix: "/jobs/",
        service: "work",
        priority: 0,
        max_attempts: 3,
        stretch: 2,
        target_latency_ms: 1000,
    }],
    services: [{ name: "work", enforces_capacity: true }],
};
/** Two workers beside the machines and two in the other region, 20 ms one way, as the sheet says. */
const NEAR_MS = 1;
const FAR_MS = 20;

/** A port that is free on a loopback address now. */
async function findPort(host) {
    const server = createServer();
    await new Promise(resolve => server.listen(0, host, resolve));
    const { port } = server.address();
    await new Promise(resolve => server.close(resolve));
    return port;
}

function fill(template, fields) {
    return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, json) => {
        const value = path.split(".").reduce((object, name) => object?.[name], fields);
        return json === undefined ? String(value ?? "") : JSON.stringify(value ?? null);
    });
}

export class World {
    events = [];
    gangs = new Map();
    steps = new Map();
    workers = new Map();
    nodes = new Map();
    startedAt = performance.now();
    store = new Store();
    folder = mkdtempSync(join(tmpdir(), "review-3-"));

    /** @param caseUrl `import.meta.url` of the case. */
    constructor(caseUrl) {
        this.recordPath = join(dirname(fileURLToPath(caseUrl)), "record.txt");
        writeFileSync(this.recordPath, `TROUBLE=${hasTrouble ? 1 : 0}\n`);
        const stop = () => this.close();
        process.on("exit", stop);
        for (const signal of ["SIGINT", "SIGTERM"]) {
            process.on(signal, () => process.exit(2));
        }
    }

    get now() {
        return Math.round(performance.now() - this.startedAt);
    }

    record(event) {
        const full = { at: this.now, ...event };
        this.events.push(full);
        const { at, kind, ...rest } = full;
        appendFileSync(this.recordPath, `${(at / 1000).toFixed(3)} ${kind} ${JSON.stringify(rest)}\n`);
        return full;
    }

    findStep(task, run) {
        const [job, , number] = task.split(".");
        const found = this.steps.get(job);
        const step = found?.job.steps[Number(number)];
        if (step === undefined) {
            this.record({ kind: "unasked", task });
            return { step: {}, durationMs: 1000, fails: false };
        }
        const { durationMs, fails } = found.behave(task, run);
        return { step, durationMs, fails };
    }

    async startStore(config) {
        this.storeAddress = await this.store.listen("127.0.0.1", 0);
        this.config = { version: 1, limits: {}, ...config };
        this.store.put("keyed.op", "config", JSON.stringify(this.config));
    }

    /** Workers say of themselves what they do every heartbeat. */
    async addWorker(id, options) {
        const worker = await new Worker(id, this, {
            host: "127.0.0.1",
            service: "work",
            zone: "a",
            rack: "r1",
            ...options,
        })
            .listen();
        this.workers.set(id, worker);
        this.store.put("keyed.servers", id, worker.describe());
        worker.beat = setInterval(() => this.store.put("keyed.servers", id, worker.describe(worker.state)), 1100);
        return worker;
    }

    /** Starts one machine's process on an address of its own, as the deploy file says. */
    async startNode(name, index, { zone = "a", region = "r" } = {}) {
        const host = `127.0.1.${index}`;
        const known = this.nodes.get(name);
        const ports = known?.ports ?? {
            front: await findPort(host),
            ready: await findPort(host),
            metrics: await findPort(host),
        };
        this.peerPort ??= await findPort(host);
        const fields = {
            node: name,
            ip: host,
            zone,
            region,
            limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100 },
            listen: { front: `${host}:${ports.front}`, ready: `${host}:${ports.ready}` },
            internal_ports: [this.peerPort, ports.metrics],
            bounds: { ...bounds, ...this.bounds },
            advice: this.advice ?? "",
            platform: { address: this.storeAddress, record_bytes: 262_144, call_bytes: 2_097_152 },
            cloud: { address: "" },
        };
        const deploy = readFileSync(join(root, "deploy", "system.toml"), "utf8");
        const command = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
        const template = readFileSync(join(root, /^template = "(.*)"$/m.exec(deploy)[1]), "utf8");
        const settings = join(this.folder, `${name}.toml`);
        writeFileSync(settings, fill(template, fields));
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(process.execPath, command.slice(1), {
            cwd: root,
            env: { PATH, HOME, LANG, SARDINESTAGE_BOOT: settings },
            stdio: ["ignore", "pipe", "pipe"],
        });
        const node = { name, index, host, ports, child, log: known?.log ?? [], zone };
        this.nodes.set(name, node);
        this.record({ kind: "node-started", name, pid: child.pid });
        for (const stream of [child.stdout, child.stderr]) {
            stream.on("data", text => node.log.push(text.toString()));
        }
        child.once("exit", (code, signal) => {
            node.exited = { code, signal };
            this.record({ kind: "node-ended", name, code, signal });
        });
        return node;
    }

    /** Starts four workers and three machines, and waits until a coordinator has them all. */
    async startSmallDeployment() {
        await this.startStore(config);
        for (let index = 0; index < 4; index++) {
            const isFar = index >= 2;
            const place = isFar ? { zone: "luik-oven", rack: "r2" } : { zone: "gent-haven", rack: "r1" };
            await this.addWorker(`w${index}`, { ...place, oneWayMs: isFar ? FAR_MS : NEAR_MS });
        }
        const nodes = [];
        for (let index = 1; index <= 3; index++) {
            nodes.push(await this.startNode(`front-${index}`, index, { zone: "gent-haven", region: "vlaanderen" }));
        }
        for (const node of nodes) {
            await this.waitReady(node);
        }
        await wait(3000);
        return nodes;
    }

    async waitReady(node, timeoutMs = 20_000) {
        const untilMs = Date.now() + timeoutMs;
        while (Date.now() < untilMs) {
            const { status } = await request(node.host, node.ports.ready, "GET", "/-/ready", undefined, 1000);
            if (status === 200) {
                return;
            }
            await wait(50);
        }
        this.fail(`${node.name} isn't ready`);
    }

    /** Sends a client's request. The status is 0 without an answer. */
    async call(node, method, path, body, timeoutMs = 3000) {
        const sentAt = this.now;
        const answer = await request(node.host, node.ports.front, method, path, body, timeoutMs);
        this.record({
            kind: "client",
            node: node.name,
            method,
            path,
            status: answer.status,
            sentAt,
            body: answer.text.slice(0, 200),
        });
        return answer;
    }

    /** Hands in a job and keeps trying on other machines until it is accepted. */
    async submit(id, job, behave, { prefix = "/jobs/", tries = 5 } = {}) {
        this.steps.set(id, { job, behave });
        for (let index = 0; index < tries; index++) {
            const nodes = [...this.nodes.values()].filter(node => node.exited === undefined);
            const { status } = await this.call(nodes[index % nodes.length], "POST", prefix + id, job);
            if (status >= 200 && status < 300) {
                return true;
            }
            await wait(300);
        }
        return false;
    }

    leader() {
        let found;
        for (const node of this.nodes.values()) {
            const terms = [...node.log.join("").matchAll(/"term-won".*?"term":(\d+)/g)].map(match => Number(match[1]));
            for (const term of terms) {
                if (found === undefined || term > found.term) {
                    found = { term, node };
                }
            }
        }
        return found?.node;
    }

    fail(problem) {
        this.record({ kind: "could-not-run", problem });
        console.log(`could not run: ${problem}`);
        process.exit(2);
    }

    /** Ends the case. Exit code 1 if the rule was broken. */
    finish(broken) {
        for (const problem of broken) {
            this.record({ kind: "broken", problem });
        }
        console.log(broken.length === 0 ? "held" : `broken: ${broken.length}, first: ${broken[0]}`);
        process.exit(broken.length === 0 ? 0 : 1);
    }

    close() {
        for (const { name, child, exited, log } of this.nodes.values()) {
            if (exited === undefined) {
                child.kill("SIGCONT");
                child.kill("SIGKILL");
            }
            if (process.env.KEEP_LOGS) {
                mkdirSync(process.env.KEEP_LOGS, { recursive: true });
                writeFileSync(join(process.env.KEEP_LOGS, `${name}.log`), log.join(""));
            }
        }
        rmSync(this.folder, { recursive: true, force: true });
    }
}

export function request(host, port, method, path, body, timeoutMs) {
    return new Promise(resolve => {
        const text = body === undefined ? "" : JSON.stringify(body);
        const headers = { "Host": HOST_NAME, "Timeout-Ms": String(timeoutMs), "Content-Type": "application/json" };
        if (text !== "") {
            headers["Content-Length"] = Buffer.byteLength(text);
        }
        const sent = http.request({ host, port, method, path, headers, agent: false }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => settle({ status: response.statusCode, text: Buffer.concat(chunks).toString() }));
            response.on("error", () => settle({ status: 0, text: "" }));
        });
        const settle = answer => {
            clearTimeout(timer);
            resolve(answer);
        };
        const timer = setTimeout(() => {
            sent.destroy();
            settle({ status: 0, text: "" });
        }, timeoutMs);
        sent.on("error", () => settle({ status: 0, text: "" }));
        sent.end(text);
    });
}

export { wait };
