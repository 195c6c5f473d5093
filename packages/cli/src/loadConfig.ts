import { fromJson } from "@bufbuild/protobuf";
import type { Config } from "@sardinestage/operator-rpc";
import { ConfigSchema } from "@sardinestage/operator-rpc";
import { readFileSync } from "node:fs";

/** Reads a configuration from a JSON file. */
export function loadConfig(file: string): Config {
    return fromJson(ConfigSchema, JSON.parse(readFileSync(file, "utf8")));
}
