/** Sets a small installation up, runs a case in it and ends with the exit code that the case's outcome asks for. */
import { Advice } from "./advice.mjs";
import { createFolder, findPorts, Machine, Record, wait } from "./installation.mjs";
import { Store } from "./store.mjs";

export const HOST = "jobs.example";
export const PREFIX = "/jobs/";
export const withTrouble = process.env.TROUBLE !== "0";
const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
const LIMIT_MS = 115_000;

/** The operator's configuration, with one queue and one service unless others are given. */
export function createConfig(version, routes = [{}], services = [{}]) {
    return {
        version,
        routes: routes.map((route, index) => ({
            name: `r-${index}`,
            host: HOST,
            path_prefix: PREFIX,
            kind: "unsafe",
            timeout_ms: 3000,
            target_latency_ms: 500,
            priority: 0,
            service: "svc",
            max_attempts: 3,
            stretch: 2,
            ...route,
        })),
        services: services.map(service => ({
            name: "svc",
            health_path: "/health",
            max_conns: 64,
            protocol: "h1",
            tls: false,
            enforces_capacity: true,
            spare: false,
            ...service,
        })),
        limits: { max_header_bytes: 16_384, max_body_bytes: 262_144, header_timeout_ms: 3000, idle_timeout_ms: 15_000 },
    };
}

/**
 * Runs a case.
 *
 * @param url The URL of the case's module, beside which `record.txt` is written.
 * @param run Gets the installation and returns a list of what broke the rule; throws if the case couldn't run.
 */
export async function runCase(url, { machineCount = 3, config = createConfig(1), keepMs, advice }, run) {
    const record = new Record(new URL("record.txt", url).pathname);
    const report = record.add;
    const machines = [];
    const workers = [];
    const store = new Store({ keepMs });
    const service = advice === undefined ? undefined : new Advice({ ...advice, report });
    let code = EXIT_NOT_RUN;
    const finish = () => {
        machines.forEach(machine => machine.child?.kill("SIGKILL"));
        workers.filter(worker => worker.isUp).forEach(worker => worker.crash());
        store.close();
        service?.close();
        record.save();
    };
    const timer = setTimeout(() => {
        console.log("The case took too long.");
        finish();
        process.exit(EXIT_NOT_RUN);
    }, LIMIT_MS);
    try {
        const folder = createFolder();
        const hosts = Array.from({ length: machineCount }, (_unused, index) => `127.0.0.${11 + index}`);
        const ports = await findPorts(hosts, 4);
        const storeAddress = await store.listen();
        const adviceAddress = await service?.listen();
        store.put("keyed.op", "config", config);
        hosts.forEach((host, index) =>
            machines.push(
                new Machine({
                    name: `front-${index + 1}`,
                    zone: "zone-a",
                    host,
                    ports,
                    storeAddress,
                    adviceAddress,
                    report,
                    folder,
                }),
            )
        );
        machines.forEach(machine => machine.start());
        const areReady = await Promise.all(machines.map(machine => machine.waitUntilReady()));
        if (areReady.includes(false)) {
            throw new Error("A machine isn't ready.");
        }
        await wait(1000);
        const broken = await run({ record, report, machines, workers, store, advice: service });
        broken.slice(0, 20).forEach(each => {
            report({ event: "BROKEN", ...each });
            console.log(JSON.stringify(each));
        });
        console.log(broken.length > 0 ? `The rule was broken ${broken.length} times.` : "The rule held.");
        code = broken.length > 0 ? EXIT_BROKEN : EXIT_HELD;
    }
    catch (failure) {
        console.log(`The case couldn't run: ${failure.stack}`);
        report({ event: "not-run", problem: String(failure) });
    }
    clearTimeout(timer);
    finish();
    if (process.env.KEEP_LOGS !== undefined) {
        const { writeFileSync } = await import("node:fs");
        machines.forEach(machine =>
            writeFileSync(`${process.env.KEEP_LOGS}/${machine.name}.log`, machine.log.join(""))
        );
    }
    process.exit(code);
}
