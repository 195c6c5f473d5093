import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join } from "node:path";
import { stringify } from "smol-toml";

const require = createRequire(import.meta.url);
/** Each started process adds an exit listener; the default limit of 10 would print a warning. */
process.setMaxListeners(200);

/** Starts, signals and awaits one process of the product. */
export class ManagedProcess {
    private child: ChildProcess | undefined;

    /**
     * @param binary Package that contains the binary, such as `entry`.
     * @param name Unique name; names the settings file and the log file.
     * @param settings Written to a TOML file.
     * @param directory Directory of the settings file and the log file.
     */
    constructor(
        private readonly binary: string,
        readonly name: string,
        private readonly settings: object,
        private readonly directory: string,
    ) {}

    /** Writes the settings and starts the process; its standard error is appended to the log file. */
    start(): void {
        const file = join(this.directory, `${this.name}.toml`);
        writeFileSync(file, stringify(this.settings));
        const main = require.resolve(`@sardinestage/${this.binary}`).replace(/index\.js$/, "main.js");
        const child = spawn(process.execPath, [main, "--config", file], { stdio: ["ignore", "ignore", "pipe"] });
        child.stderr.pipe(createWriteStream(join(this.directory, `${this.name}.log`), { flags: "a" }));
        this.child = child;
        // Processes left running after a failed launcher would occupy the ports of the next installation.
        process.once("exit", () => child.kill("SIGKILL"));
    }

    /** Sends a signal, such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM. */
    sendSignal(signal: NodeJS.Signals): void {
        this.child?.kill(signal);
    }

    /**
     * Waits until the process has ended.
     *
     * @returns The exit code; `undefined` if a signal ended the process or it was never started.
     */
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

    /** Returns the process id; `undefined` if the process was never started. */
    getPid(): number | undefined {
        return this.child?.pid;
    }
}
