import { ErrorKind, StageError } from "@sardinestage/errors";
import type { Command } from "commander";
import type { Result } from "ts-results";
import { printJson } from "../../printJson.js";
import { formatExplanation } from "./formatExplanation.js";
import { readJobFile } from "./readJobFile.js";
import { requestExplanation } from "./requestExplanation.js";

interface ExplainOptions {
    file?: string;
    queue?: string;
    peer?: string;
    peerKey?: string;
    json: boolean;
}

/** Adds `explain`, which asks the coordinator through an entry VM, not an administration process. */
export function addExplainCommand(program: Command): void {
    program.command("explain [job]")
        .description("print where a job's ready tasks would start now and why, or why they wait; sends nothing")
        .option("--file <path>", "explain the job in this JSON file, which isn't submitted; needs --queue")
        .option("--queue <name>", "queue of the job in the file")
        .option(
            "--peer <host:port>",
            "peer address of any entry VM; default from STAGECTL_PEER",
            process.env.STAGECTL_PEER,
        )
        .option(
            "--peer-key <key>",
            "the installation's peer key; default from STAGECTL_PEER_KEY",
            process.env.STAGECTL_PEER_KEY,
        )
        .option("--json", "print the answer as JSON", false)
        .action(async (jobId: string | undefined, options: ExplainOptions) => {
            const { address, port } = parsePeer(options.peer);
            const peerKey = resolveOption(options.peerKey, "--peer-key", "or set STAGECTL_PEER_KEY");
            const target = { address, port, peerKey };
            const explanation = resolveResult(await requestExplanation(target, chooseQuestion(jobId, options)));
            if (options.json) {
                printJson(explanation);
            }
            else {
                process.stdout.write(`${formatExplanation(explanation)}\n`);
            }
        });
}

function chooseQuestion(
    id: string | undefined,
    { file, queue }: ExplainOptions,
): Parameters<typeof requestExplanation>[1] {
    if ((id === undefined) === (file === undefined)) {
        throw createUsageError("Exactly one job is needed.", "Give the id of an accepted job, or --file and --queue.");
    }
    if (file === undefined) {
        return { id };
    }
    return { spec: resolveResult(readJobFile(file)), queue: resolveOption(queue, "--queue", "with the job's queue") };
}

function resolveOption(value: string | undefined, name: string, hint: string): string {
    if (value === undefined) {
        throw createUsageError(`${name} is missing.`, `Give ${name}, ${hint}.`);
    }
    return value;
}

function parsePeer(peer: string | undefined): { address: string; port: number } {
    const [, address, port] = /^(.+):(\d+)$/.exec(peer ?? "") ?? [];
    if (address === undefined) {
        throw createUsageError("The entry VM's address is missing or invalid.", "Give --peer HOST:PORT.");
    }
    return { address, port: Number(port) };
}

function createUsageError(problem: string, remedy: string): StageError {
    return new StageError(ErrorKind.InvalidArgument, problem, remedy);
}

/** Returns the value of a result, or throws its error, which the process prints with its remedy. */
function resolveResult<T>(result: Result<T, StageError>): T {
    if (result.err) {
        throw result.val;
    }
    return result.val;
}
