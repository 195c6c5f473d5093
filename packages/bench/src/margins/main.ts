#!/usr/bin/env node
import { Command } from "commander";
import { formatMargins } from "./formatMargins.js";
import { measureMargins } from "./measureMargins.js";
import { parseSpan } from "./parseSpan.js";

const INVALID_ARGUMENT = 2;

await new Command("margins")
    .description("Prints how near a played day came to tasks that don't run and requests that aren't answered.")
    .argument("<file>", "the log of the day")
    .option("--calm <from-to>", "a span of calm, in seconds; may be repeated", collectText, [])
    .action(runMargins)
    .parseAsync();

async function runMargins(file: string, options: { readonly calm: readonly string[] }): Promise<void> {
    const spans = options.calm.map(parseSpan);
    const calmSpans = spans.flatMap(span => span.ok ? [span.val] : []);
    const invalid = spans.find(span => span.err);
    const margins = invalid?.err === true ? invalid : await measureMargins(file, calmSpans);
    if (margins.err) {
        process.stderr.write(`${margins.val.message}\n`);
        process.exitCode = INVALID_ARGUMENT;
        return;
    }
    process.stdout.write(`${formatMargins(margins.val, calmSpans.length > 0).join("\n")}\n`);
}

function collectText(text: string, earlier: readonly string[]): readonly string[] {
    return [...earlier, text];
}
