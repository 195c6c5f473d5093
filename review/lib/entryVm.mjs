import { spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { join } from "node:path";
import { fileURLToPath } from "node:url";

const ROOT = fileURLToPath(new URL("../..", import.meta.url));

/** Range of the ports for VMs, below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 20_000;
const PORT_COUNT = 10_000;

/** Finds a free port of 127.0.0.1. */
async function findFreePort() {
    for (;;) {
        const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
        const server = createServer();
        const isFree = await new Promise(resolve => {
            server.once("error", () => resolve(false));
            server.listen(port, "127.0.0.1", () => resolve(true));
        });
        if (isFree) {
            await new Promise(resolve => server.close(resolve));
            return port;
        }
    }
}

/** One entry VM: the project's own program, started with the command and the settings template of the deploy file. */
export class EntryVm {
    /** @param options `name`, `zone`, `storePort`, `directory` and `recorder`. */
    constructor(options) {
        this.options = options;
        this.lines = [];
    }

    get name() {
        return this.options.name;
    }

    /** Starts the process. */
    async start() {
        this.lines = [];
        const { name, zone, storePort, directory, recorder } = this.options;
        this.callerPort ??= await findFreePort();
        this.readyPort ??= await findFreePort();
        this.peerPort ??= await findFreePort();
        this.metricsPort ??= await findFreePort();
        const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
        const command = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
        const template = readFileSync(join(ROOT, /^template = "(.*)"$/m.exec(deploy)[1]), "utf8");
        const settings = renderTemplate(template, {
            node: name,
            ip: "127.0.0.1",
            zone,
            limits: { cpu_share: 1, cores: 1 },
            listen: { front: `127.0.0.1:${this.callerPort}`, ready: `127.0.0.1:${this.readyPort}` },
            internal_ports: [this.peerPort, this.metricsPort],
            platform: { address: `127.0.0.1:${storePort}` },
            advice: "",
            cloud: { address: "" },
            bounds: { grace_s: 6, hold_max_ms: 6000, status_s: 120, harm_ms: 4000, pace_ms: 100 },
        });
        const file = join(directory, `${name}.toml`);
        writeFileSync(file, settings);
        const { PATH, HOME, LANG } = process.env;
        const child = spawn(command[0] === "node" ? process.execPath : command[0], command.slice(1), {
            cwd: ROOT,
            env: { PATH, HOME, LANG, SARDINESTAGE_BOOT: file },
            stdio: ["ignore", "pipe", "pipe"],
        });
        this.child = child;
        process.once("exit", () => child.kill("SIGKILL"));
        const log = createWriteStream(join(directory, `${name}.log`), { flags: "a" });
        child.stderr.pipe(log);
        child.stdout.on("data", chunk => {
            log.write(chunk);
            this.readLog(chunk);
        });
        child.on("exit", (code, signal) => recorder.note("process-ended", { vm: name, code, signal }));
        recorder.note("process-started", { vm: name, pid: child.pid });
    }

    /** Whether the process has logged an event; `matches` may test the event's fields. */
    hasLogged(event, matches = () => true) {
        return this.lines.some(line => line.event === event && matches(line));
    }

    /** Whether the process coordinates, as its log says. */
    get isCoordinator() {
        const last = this.lines.findLast(({ event }) => event === "term-won" || event === "term-lost");
        return this.isAlive && last?.event === "term-won";
    }

    get isAlive() {
        return this.child !== undefined && this.child.exitCode === null && this.child.signalCode === null;
    }

    /** Sends the process a signal. */
    signal(name) {
        this.options.recorder.note("signal", { vm: this.name, signal: name });
        this.child.kill(name);
    }

    /** Kills the process if it runs. */
    async close() {
        if (this.isAlive) {
            const ended = new Promise(resolve => this.child.once("exit", resolve));
            this.child.kill("SIGKILL");
            await ended;
        }
    }

    readLog(chunk) {
        this.rest = (this.rest ?? "") + chunk.toString("utf8");
        const lines = this.rest.split("\n");
        this.rest = lines.pop();
        for (const line of lines) {
            this.noteLine(line);
        }
    }

    noteLine(line) {
        try {
            const fields = JSON.parse(line);
            this.lines.push(fields);
            if (["term-won", "term-lost", "takeover", "worker-reborn", "unexpected-error"].includes(fields.event)) {
                const { event, term, reason, hadUnrecordedStarts, problem } = fields;
                this.options.recorder.note("vm-log", {
                    vm: this.name,
                    event,
                    term,
                    reason,
                    hadUnrecordedStarts,
                    problem,
                });
            }
        }
        catch {
            // A line that isn't JSON is in the log file only.
        }
    }
}

/** Fills in `{{a.b}}` and `{{a.b|json}}`. */
function renderTemplate(template, fields) {
    return template.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, json) => {
        const value = path.split(".").reduce((object, name) => object?.[name], fields);
        return json === undefined ? String(value ?? "") : JSON.stringify(value);
    });
}
