import { parse, TomlError } from "smol-toml";
import type { Result } from "ts-results";
import tsResults from "ts-results";
import type { z } from "zod";
import type { SettingFault } from "./settingFault.js";

const { Err, Ok } = tsResults;

/**
 * Parses settings from TOML text and validates them.
 *
 * @param schema Schema of the settings.
 * @param text Content of the settings file.
 * @returns The settings with defaults filled in, or all faults of the file.
 */
export function parseSettings<T>(schema: z.ZodType<T>, text: string): Result<T, SettingFault[]> {
    let raw: unknown;
    try {
        raw = parse(text);
    }
    catch (failure) {
        if (failure instanceof TomlError) {
            return Err([{
                key: "",
                line: failure.line,
                problem: `is not valid TOML: ${failure.message.split("\n")[0]}`,
            }]);
        }
        throw failure;
    }
    const parsed = schema.safeParse(raw);
    if (parsed.success) {
        return Ok(parsed.data);
    }
    return Err(parsed.error.issues.flatMap(issue => listFaults(issue, text)));
}

function listFaults(issue: z.core.$ZodIssue, text: string): SettingFault[] {
    const path = issue.path.map(String);
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key =>
            createFault([...path, key], text, "is not a known key; check its spelling or remove it")
        );
    }
    return [createFault(path, text, `${issue.message}; correct the value`)];
}

function createFault(path: readonly string[], text: string, problem: string): SettingFault {
    const line = findLine(path, text);
    const fault = { key: path.join("."), problem };
    return line === undefined ? fault : { ...fault, line };
}

/** Finds the 1-based line of a key, or of its section's header when the section doesn't contain the key. */
function findLine(path: readonly string[], text: string): number | undefined {
    const names = path.filter(part => !/^\d+$/.test(part));
    const lines = text.split("\n");
    const index = Number(path.find(part => /^\d+$/.test(part)) ?? 0);
    const headers = lines.flatMap((line, i) => /^\s*\[+\s*([\w.]+)\s*\]+/.exec(line)?.[1] === names[0] ? [i] : []);
    const start = headers[index];
    if (start === undefined) {
        return undefined;
    }
    for (let i = start + 1; i < lines.length && !/^\s*\[/.test(lines[i]); i++) {
        if (names[1] !== undefined && new RegExp(`^\\s*"?${names[1]}"?\\s*=`).test(lines[i])) {
            return i + 1;
        }
    }
    return start + 1;
}
