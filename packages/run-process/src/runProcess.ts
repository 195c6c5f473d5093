import type { SettingFault } from "@sardinestage/read-settings";
import { parseSettings } from "@sardinestage/read-settings";
import { Command } from "commander";
import { readFileSync } from "node:fs";
import type { z } from "zod";
import { ExitCode } from "./exitCode.js";
import type { RunningProcess } from "./runningProcess.js";

/** Name, settings schema and start function of one binary. */
interface ProcessDefinition<Settings> {
    readonly name: string;
    readonly description: string;
    readonly version: string;
    readonly schema: z.ZodType<Settings>;
    readonly start: (settings: Settings) => Promise<RunningProcess>;
}

/**
 * Runs a binary: reads the command line and the settings, starts the process, and drains it on SIGTERM or SIGINT.
 * Ends the process with the matching `ExitCode` when the settings are invalid or the start fails.
 */
export async function runProcess<Settings>(definition: ProcessDefinition<Settings>): Promise<void> {
    const program = new Command(definition.name)
        .description(definition.description)
        .version(definition.version)
        .option("--config <file>", "settings file in TOML")
        .action(async (options: { config?: string }) => {
            await startProcess(definition, loadSettings(definition.schema, options.config));
        });
    program.command("check-config")
        .description("check the settings file and exit")
        .action(() => {
            loadSettings(definition.schema, program.opts<{ config?: string }>().config);
            process.stdout.write("The settings are valid.\n");
        });
    await program.parseAsync();
}

async function startProcess<Settings>(definition: ProcessDefinition<Settings>, settings: Settings): Promise<void> {
    let running: RunningProcess;
    try {
        running = await definition.start(settings);
    }
    catch (failure) {
        stopWithFailure(failure);
    }
    let isDraining = false;
    const stop = () => {
        if (!isDraining) {
            isDraining = true;
            void running.drain().then(() => process.exit(ExitCode.Success), stopWithFailure);
        }
    };
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
}

function loadSettings<Settings>(schema: z.ZodType<Settings>, file: string | undefined): Settings {
    if (file === undefined) {
        return stopWithFaults([{ key: "--config", problem: "is missing; give the path of a settings file" }]);
    }
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch {
        return stopWithFaults([{
            key: "--config",
            problem: `can't read ${file}; check the path and the file's permissions`,
        }]);
    }
    const settings = parseSettings(schema, text);
    return settings.ok ? settings.val : stopWithFaults(settings.val);
}

function stopWithFaults(faults: readonly SettingFault[]): never {
    for (const fault of faults) {
        const location = fault.line === undefined ? "" : ` (line ${fault.line})`;
        process.stderr.write(`${fault.key}${location}: ${fault.problem}.\n`);
    }
    process.exit(ExitCode.InvalidSettings);
}

function stopWithFailure(failure: unknown): never {
    const { code } = failure as NodeJS.ErrnoException;
    process.stderr.write(`${failure instanceof Error ? failure.message : String(failure)}\n`);
    if (code === "EADDRINUSE") {
        process.stderr.write("Another process uses the port: stop that process or change the port in the settings.\n");
        process.exit(ExitCode.PortInUse);
    }
    if (code === "EADDRNOTAVAIL" || code === "EACCES") {
        process.stderr.write(
            "The operating system refused the address or port: check process.address and the ports in the settings.\n",
        );
        process.exit(ExitCode.StartRefused);
    }
    process.exit(ExitCode.InternalError);
}
