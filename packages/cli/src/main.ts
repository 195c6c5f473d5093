import { ConnectError } from "@connectrpc/connect";
import { ErrorDetailSchema } from "@sardinestage/operator-rpc";
import { Command } from "commander";
import { addConfigCommand } from "./commands/config/index.js";
import { addExplainCommand } from "./commands/explain/index.js";
import { addLogbookCommand } from "./commands/logbook/index.js";
import { addServiceCommand } from "./commands/service/index.js";
import { addStatusCommand } from "./commands/status/index.js";
import { addTaskCommand } from "./commands/task/index.js";
import { addWorkerCommand } from "./commands/worker/index.js";
import { createOperatorClient } from "./createOperatorClient.js";

// The reader of the output may close the pipe early, as `head` does.
process.stdout.on("error", () => process.exit(0));

const CALL_FAILED = 1;
const NO_KEY = 2;

const program = new Command("stagectl")
    .description("Calls the operators' API of an administration process.")
    .version("0.1.0")
    .option(
        "--url <url>",
        "URL of the administration process; default from STAGECTL_URL",
        process.env.STAGECTL_URL ?? "http://127.0.0.1:7000",
    )
    .option("--key <key>", "the operator's key; default from STAGECTL_KEY", process.env.STAGECTL_KEY);

const openClient = () => {
    const { url, key } = program.opts<{ url: string; key?: string }>();
    if (key === undefined) {
        process.stderr.write("The operator's key is missing: give --key or set STAGECTL_KEY.\n");
        process.exit(NO_KEY);
    }
    return createOperatorClient(url, key);
};
const commandAdders = [
    addStatusCommand,
    addConfigCommand,
    addServiceCommand,
    addTaskCommand,
    addWorkerCommand,
    addLogbookCommand,
    addExplainCommand,
];
commandAdders.forEach(add => add(program, openClient));

try {
    await program.parseAsync();
}
catch (failure) {
    const error = ConnectError.from(failure);
    const detail = error.findDetails(ErrorDetailSchema)[0];
    const effect = detail === undefined ? "" : `\nThe call ${detail.mayHaveRun ? "may have had" : "had no"} effect.`;
    process.stderr.write(`${error.rawMessage}${effect}\n`);
    process.exit(CALL_FAILED);
}
