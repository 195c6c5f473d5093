/** Starts the project's own program as separate processes on loopback addresses, with settings from its template. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { request } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

export const root = fileURLToPath(new URL("../..", import.meta.url));

/** Bounds and limits of the deployment of the site that the cases name (fluitlog-ops). */
export const bounds = {
    grace_s: 6,
    hold_max_ms: 6000,
    status_s: 120,
    harm_ms: 4000,
    pace_ms: 100,
    stop_timeout_ms: 900,
};
export const limits = { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100 };

export const wait = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Finds ports that are free on all the hosts. */
export async function findPorts(hosts, count) {
    const found = [];
    for (let tries = 0; found.length < count && tries < 500; tries++) {
        const port = 20_000 + Math.floor(Math.random() * 30_000);
        const results = await Promise.all(hosts.map(host => isFree(host, port)));
        if (results.every(Boolean) && !found.includes(port)) {
            found.push(port);
        }
    }
    if (found.length < count) {
        throw new Error("no free ports");
    }
    return found;
}

function isFree(host, port) {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, host, () => server.close(() => resolve(true)));
    });
}

/** Fills in the project's template of settings as the platform does, for the placeholders that it uses. */
export function renderSettings(fields) {
    const template = readFileSync(join(root, "deploy/settings.toml"), "utf8");
    return template.replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_all, path, asJson) => {
        const value = path.split(".").reduce((object, name) => object?.[name], fields);
        return asJson ? JSON.stringify(value ?? null) : String(value ?? "");
    });
}

/** One machine of the system: the command of the deploy file, started again after it has ended. */
export class Machine {
    constructor({ name, zone, host, ports, storeAddress, report, folder, adviceAddress = "" }) {
        Object.assign(this, { name, zone, host, ports, report });
        this.settingsPath = join(folder, `${name}.toml`);
        writeFileSync(
            this.settingsPath,
            renderSettings({
                node: name,
                ip: host,
                zone,
                limits,
                bounds,
                listen: { front: `${host}:${ports[0]}`, ready: `${host}:${ports[1]}` },
                internal_ports: [ports[2], ports[3]],
                platform: { address: storeAddress, record_bytes: 262_144, call_bytes: 2_097_152 },
                cloud: { address: "" },
                advice: adviceAddress,
            }),
        );
        this.log = [];
        this.exits = [];
    }

    start() {
        const run = /run = "([^"]+)"/.exec(readFileSync(join(root, "deploy/system.toml"), "utf8"))[1].split(" ");
        const child = spawn(run[0], run.slice(1), {
            cwd: root,
            env: { PATH: process.env.PATH, HOME: process.env.HOME, SARDINESTAGE_BOOT: this.settingsPath },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child = child;
        this.isUp = true;
        const keep = text => {
            this.log.push(text.toString());
            if (this.log.length > 20_000) {
                this.log.splice(0, 10_000);
            }
        };
        child.stdout.on("data", keep);
        child.stderr.on("data", keep);
        child.once("exit", (code, signal) => {
            if (this.child === child) {
                this.isUp = false;
            }
            this.exits.push({ code, signal });
            this.report({ event: "process-ended", machine: this.name, code, signal });
            this.onEnd?.({ code, signal });
        });
        this.report({ event: "process-started", machine: this.name, pid: child.pid });
    }

    /** Sends a signal to this machine's process. */
    signal(name) {
        this.report({ event: "signal", machine: this.name, signal: name });
        this.child?.kill(name);
    }

    async waitUntilReady(timeoutMs = 15_000) {
        const until = performance.now() + timeoutMs;
        while (performance.now() < until) {
            const { status } = await call(this.host, this.ports[1], "GET", "/-/ready", { timeoutMs: 500 });
            if (status === 200) {
                return true;
            }
            await wait(50);
        }
        return false;
    }
}

/** Sends one request on a connection of its own. The status is 0 if there was no answer. */
export function call(host, port, method, path, { body, headers = {}, timeoutMs = 3000 } = {}) {
    return new Promise(resolve => {
        const text = body === undefined ? undefined : typeof body === "string" ? body : JSON.stringify(body);
        const sent = request({
            host,
            port,
            method,
            path,
            agent: false,
            headers: {
                ...text !== undefined
                    && { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) },
                ...headers,
            },
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => {
                clearTimeout(timer);
                resolve({
                    status: response.statusCode,
                    body: parse(Buffer.concat(chunks).toString()),
                    headers: response.headers,
                });
            });
            response.on("error", () => resolve({ status: 0 }));
        });
        const timer = setTimeout(() => {
            sent.destroy();
            resolve({ status: 0 });
        }, timeoutMs);
        sent.on("error", () => {
            clearTimeout(timer);
            resolve({ status: 0 });
        });
        sent.end(text);
    });
}

function parse(text) {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

/** Creates a temporary folder that is removed at the end. */
export function createFolder() {
    const folder = mkdtempSync(join(tmpdir(), "review-case-"));
    process.on("exit", () => rmSync(folder, { recursive: true, force: true }));
    return folder;
}

/** Collects what was sent, answered and run, and writes it to a file at the end. */
export class Record {
    constructor(path) {
        this.path = path;
        this.startedAt = performance.now();
        this.rows = [];
    }

    add = event => {
        this.rows.push({ ms: Math.round(performance.now() - this.startedAt), ...event });
    };

    save() {
        writeFileSync(this.path, `${this.rows.map(row => JSON.stringify(row)).join("\n")}\n`);
    }
}

/** Reads which machine holds the term, by the machines' own logs (for the choice of a machine only, not for a check). */
export function findCoordinator(machines) {
    const won = machines.flatMap(machine =>
        machine.isUp
            ? machine.log.join("").split("\n").filter(line => line.includes("\"term-won\"")).map(line => ({
                machine,
                term: JSON.parse(line).term ?? 0,
            }))
            : []
    );
    return won.sort((left, right) => right.term - left.term)[0]?.machine;
}
