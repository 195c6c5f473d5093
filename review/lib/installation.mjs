import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { EntryVm } from "./entryVm.mjs";
import { sendRequest } from "./http.mjs";
import { Link } from "./link.mjs";
import { Recorder } from "./recorder.mjs";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

/** Exit codes of a case. */
export const HELD = 0;
export const BROKEN = 1;
export const COULD_NOT_RUN = 2;

const HOST = "queue.example";
const START_TIMEOUT_MS = 20_000;
/** The longest time that a case may take, in milliseconds. */
const CASE_TIMEOUT_MS = 115_000;

/** Waits for some time, in milliseconds. */
export function wait(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

/** Waits until a condition holds. Returns whether it does before the timeout. */
export async function waitUntil(isMet, timeoutMs, pauseMs = 10) {
    const untilMs = performance.now() + timeoutMs;
    while (performance.now() < untilMs) {
        if (await isMet()) {
            return true;
        }
        await wait(pauseMs);
    }
    return false;
}

/** Entry VMs, workers and the platform's store on this machine. Each VM has its own links to the store and the workers. */
export class Installation {
    constructor(directory) {
        this.recorder = new Recorder(join(directory, "record.txt"));
        this.directory = mkdtempSync(join(tmpdir(), "sardinestage-review-"));
        this.store = new Store();
        this.workers = [];
        this.vms = [];
        /** Links by `VM>store` or `VM>worker`. */
        this.links = new Map();
    }

    /**
     * Starts workers and VMs, writes a configuration and waits until a VM coordinates and all are ready.
     *
     * @param plan `vms` and `workers` as lists of options, and `guards` and `queues` of the configuration.
     */
    async start({ vms, workers, guards = true, queues = [{}] }) {
        const { recorder, store, directory } = this;
        for (const options of workers) {
            const worker = new Worker({ recorder, store, service: "service", guards, ...options });
            await worker.listen();
            this.workers.push(worker);
        }
        this.writeConfig(1, guards, queues);
        for (const { name, zone } of vms) {
            await this.addVm(name, zone, directory);
        }
        const isReady = await waitUntil(
            async () => this.coordinator !== undefined && (await this.countReady()) === this.vms.length,
            START_TIMEOUT_MS,
        );
        if (!isReady) {
            throw new Error("The entry VMs aren't ready in time.");
        }
    }

    writeConfig(version, guards, queues) {
        const routes = queues.map((queue, index) => ({
            name: `queue-${index}`,
            host: HOST,
            path_prefix: `/queue${index}/`,
            kind: "unsafe",
            timeout_ms: 3000,
            target_latency_ms: 500,
            priority: 0,
            service: "service",
            max_attempts: 3,
            stretch: 2,
            ...queue,
        }));
        const services = [{ name: "service", health_path: "/health", enforces_capacity: guards, spare: false }];
        const limits = {
            max_header_bytes: 16_384,
            max_body_bytes: 262_144,
            header_timeout_ms: 3000,
            idle_timeout_ms: 15_000,
        };
        this.store.write("keyed.op", "config", { version, routes, services, limits });
    }

    async addVm(name, zone, directory) {
        const { recorder } = this;
        const ports = new Map();
        for (const worker of this.workers) {
            const link = new Link(worker.port);
            ports.set(worker.id, await link.listen());
            this.links.set(`${name}>${worker.id}`, link);
        }
        const viewPort = await this.store.listen((entry, id) => ({
            ...entry,
            address: `127.0.0.1:${ports.get(id)}`,
        }));
        const storeLink = new Link(viewPort);
        this.links.set(`${name}>store`, storeLink);
        const vm = new EntryVm({ name, zone, storePort: await storeLink.listen(), directory, recorder });
        this.vms.push(vm);
        await vm.start();
    }

    /** The VM that coordinates; undefined if none or more than one does. */
    get coordinator() {
        const found = this.vms.filter(vm => vm.isCoordinator);
        return found.length === 1 ? found[0] : undefined;
    }

    async countReady() {
        const answers = await Promise.all(
            this.vms.map(vm =>
                sendRequest({ port: vm.readyPort, method: "GET", path: "/-/ready", host: HOST, timeoutMs: 1000 })
            ),
        );
        return answers.filter(({ status }) => status === 200).length;
    }

    /** Sends a client's request to a VM and records the request and its answer. */
    async send(vm, method, path, body) {
        const { recorder } = this;
        recorder.note("request", { vm: vm.name, method, path, body: body === undefined ? "" : JSON.stringify(body) });
        const answer = await sendRequest({ port: vm.callerPort, method, path, host: HOST, body });
        const state = answer.body?.state;
        recorder.note("answer", { vm: vm.name, method, path, status: answer.status, state });
        return answer;
    }

    /** Cuts or heals the link from a VM to the store or to a worker. */
    setLink(vm, target, isCut) {
        const link = this.links.get(`${vm.name}>${target}`);
        if (isCut) {
            link.cut();
        }
        else {
            link.heal();
        }
        this.recorder.note(isCut ? "link-cut" : "link-healed", { link: `${vm.name}>${target}` });
    }

    /** Ends all processes and removes the temporary folder. */
    async close() {
        await Promise.all(this.vms.map(vm => vm.close()));
        this.links.forEach(link => link.close());
        this.workers.forEach(worker => worker.close());
        this.store.close();
        this.recorder.close();
        if (process.env.KEEP_LOGS === undefined) {
            rmSync(this.directory, { recursive: true, force: true });
        }
        else {
            process.stdout.write(`Logs are in ${this.directory}.\n`);
        }
    }
}

/**
 * Runs a case and ends this process with its exit code.
 *
 * @param directory Folder of the case, for `record.txt`.
 * @param play Plays the case with an installation, and with or without the disruption; returns the exit code.
 */
export async function runCase(directory, play) {
    const installation = new Installation(directory);
    const hasTrouble = process.env.TROUBLE !== "0";
    installation.recorder.note("case-begins", { trouble: hasTrouble });
    let code = COULD_NOT_RUN;
    process.setMaxListeners(100);
    for (const signal of ["SIGINT", "SIGTERM"]) {
        process.once(signal, () => process.exit(COULD_NOT_RUN));
    }
    const timeout = new Promise((_resolve, reject) => {
        setTimeout(() => reject(new Error("The case took too long.")), CASE_TIMEOUT_MS).unref();
    });
    try {
        code = await Promise.race([play(installation, hasTrouble), timeout]);
    }
    catch (failure) {
        installation.recorder.note("case-failed", { problem: failure.message });
    }
    installation.recorder.note("case-ends", { code });
    await installation.close();
    process.exit(code);
}
