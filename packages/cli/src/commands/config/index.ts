import type { Command } from "commander";
import { randomUUID } from "node:crypto";
import { loadConfig } from "../../loadConfig.js";
import type { OperatorClient } from "../../operatorClient.js";
import { printJson } from "../../printJson.js";
import { printTable } from "../../printTable.js";

/** Adds `config get | publish | history`. */
export function addConfigCommand(program: Command, openClient: () => OperatorClient): void {
    const config = program.command("config").description("the configuration");
    config.command("get").description("print the current configuration").action(async () => {
        printJson((await openClient().getConfig({})).current);
    });
    config.command("publish <file>")
        .description("replace the configuration with the content of a JSON file")
        .requiredOption("--based-on <version>", "the version on which the change is based", Number)
        .option(
            "--change-id <id>",
            "id of the change; repeating a call with the same id has no further effect",
            randomUUID(),
        )
        .action(async (file: string, options: { basedOn: number; changeId: string }) => {
            const { basedOn, changeId } = options;
            const { version } = await openClient().publishConfig({ changeId, basedOn, config: loadConfig(file) });
            process.stdout.write(`Version ${version} is accepted.\n`);
        });
    config.command("history").description("list the newest versions").action(async () => {
        const { versions } = await openClient().listConfigHistory({});
        const rows = versions.map(each => [
            each.version,
            each.operator,
            each.acceptedAtMs === 0n ? "" : new Date(Number(each.acceptedAtMs)).toISOString(),
            each.config?.services.length ?? 0,
        ]);
        printTable(["VERSION", "OPERATOR", "ACCEPTED", "SERVICES"], rows);
    });
}
