import { fromJson } from "@bufbuild/protobuf";
import { ServiceSchema } from "@sardinestage/operator-rpc";
import type { Service } from "@sardinestage/operator-rpc";
import type { Command } from "commander";
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import type { OperatorClient } from "../../operatorClient.js";

/** Adds `service create | update | delete`. */
export function addServiceCommand(program: Command, openClient: () => OperatorClient): void {
    const service = program.command("service").description("services");
    const changeId = [
        "--change-id <id>",
        "id of the change; repeating a call with the same id has no further effect",
        randomUUID(),
    ] as const;
    const printVersion = ({ version }: { version: number }) =>
        process.stdout.write(`Version ${version} is accepted.\n`);
    service.command("create <file>").description("add a service described by a JSON file").option(...changeId)
        .action(async (file: string, options: { changeId: string }) => {
            printVersion(await openClient().createService({ ...options, service: loadService(file) }));
        });
    service.command("update <file>").description("replace a service with the one in a JSON file").option(...changeId)
        .action(async (file: string, options: { changeId: string }) => {
            printVersion(await openClient().updateService({ ...options, service: loadService(file) }));
        });
    service.command("delete <name>").description("remove a service").option(...changeId)
        .action(async (name: string, options: { changeId: string }) => {
            printVersion(await openClient().deleteService({ ...options, name }));
        });
}

function loadService(file: string): Service {
    return fromJson(ServiceSchema, JSON.parse(readFileSync(file, "utf8")));
}
