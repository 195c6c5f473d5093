import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { stringify } from "smol-toml";

const require = createRequire(import.meta.url);
/** One listener for each process that is started. */
process.setMaxListeners(200);

/** One of the product's processes, as a supervisor runs it. */
export class ManagedProcess {
    private child: ChildProcess | undefined;

    /**
     * @param binary Package of the binary, such as `entry`.
     * @param name Unique name.
     * @param settings Written to a TOML file.
     * @param folder Where the settings and the log go.
     */
    constructor(
        private readonly binary: string,
        readonly name: string,
        private readonly settings: object,
        private readonly folder: string,
    ) {}

    /** Starts it. */
    start(): void {
        const file = join(this.folder, `${this.name}.toml`);
        writeFileSync(file, stringify(this.settings));
        const main = require.resolve(`@sardinestage/${this.binary}`).replace(/index\.js$/, "main.js");
        const child = spawn(process.execPath, [main, "--config", file], { stdio: ["ignore", "ignore", "pipe"] });
        child.stderr.pipe(createWriteStream(join(this.folder, `${this.name}.log`), { flags: "a" }));
        this.child = child;
        // A launcher that ends by a failure must not leave its processes behind: they would meet the next one's ports.
        process.once("exit", () => child.kill("SIGKILL"));
    }

    /** Sends a signal: SIGKILL, SIGSTOP, SIGCONT or SIGTERM. */
    sendSignal(signal: NodeJS.Signals): void {
        this.child?.kill(signal);
    }

    /** Waits until it has ended; answers with its exit code, `undefined` when a signal ended it. */
    async waitForExit(): Promise<number | undefined> {
        const { child } = this;
        if (child === undefined) {
            return undefined;
        }
        if (typeof child.exitCode !== "number" && typeof child.signalCode !== "string") {
            await once(child, "exit");
        }
        return child.exitCode ?? undefined;
    }

    /** Its process id. */
    getPid(): number | undefined {
        return this.child?.pid;
    }
}
