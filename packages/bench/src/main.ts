#!/usr/bin/env node
import { Command } from "commander";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import type { Figure } from "./figure.js";
import type { Scenario } from "./scenario.js";
import { coordinate } from "./scenarios/coordinate.js";
import { decide } from "./scenarios/decide.js";
import { jobMemory } from "./scenarios/jobMemory.js";
import { path } from "./scenarios/path.js";
import { retries } from "./scenarios/retries.js";
import { slopes } from "./scenarios/slopes.js";
import { takeover } from "./scenarios/takeover.js";
import { uneven } from "./scenarios/uneven.js";

const DEFAULT_SEED = 20261204;
const scenarios: readonly Scenario[] = [coordinate, decide, jobMemory, path, retries, slopes, takeover, uneven];

interface BenchOptions {
    readonly list?: boolean;
    readonly json?: boolean;
    readonly seed: number;
    readonly out?: string;
}

const program = new Command("bench")
    .description("Measures the decisions against baselines and targets.")
    .argument("[name]", "a scenario, or all", "all")
    .option("--list", "list the scenarios")
    .option("--json", "print one JSON object")
    .option("--seed <n>", "seed of what is random", Number, DEFAULT_SEED)
    .option("--out <folder>", "write a page with the figures")
    .action(runBench);

async function runBench(name: string, options: BenchOptions): Promise<void> {
    if (options.list) {
        scenarios.forEach(scenario => process.stdout.write(`${scenario.name.padEnd(12)} ${scenario.description}\n`));
        return;
    }
    const chosen = scenarios.filter(scenario => name === "all" || scenario.name === name);
    if (chosen.length === 0) {
        process.stderr.write(`There is no scenario ${name}; see --list.\n`);
        process.exit(2);
    }
    for (const scenario of chosen) {
        const figures = await scenario.run(
            options.seed,
            message => process.stderr.write(`${scenario.name}: ${message}\n`),
        );
        const ok = figures.every(figure => figure.ok);
        const result = { name: scenario.name, seed: options.seed, ok, figures };
        process.stdout.write(options.json ? `${JSON.stringify(result)}\n` : writeTable(scenario, figures));
        if (options.out !== undefined) {
            mkdirSync(options.out, { recursive: true });
            writeFileSync(join(options.out, `${scenario.name}.md`), writePage(scenario, figures, options.seed));
        }
    }
    process.exit(0);
}

function writeTable(scenario: Scenario, figures: readonly Figure[]): string {
    const lines = figures.map(({ name, unit, value, baseline, target, ok }) => {
        const verdict = target === undefined ? "" : `${ok ? "met" : "MISSED"} (${target})`;
        const baselineText = baseline === undefined ? "" : `baseline ${formatNumber(baseline)}`;
        return `  ${name.padEnd(66)} ${formatNumber(value).padStart(10)} ${unit.padEnd(12)} ${
            baselineText.padEnd(20)
        } ${verdict}`;
    });
    return `${scenario.name}: ${scenario.description}\n${lines.join("\n")}\n`;
}

function writePage(scenario: Scenario, figures: readonly Figure[], seed: number): string {
    const rows = figures.map(({ name, unit, value, baseline, target, ok }) =>
        `| ${name} | ${formatNumber(value)} ${unit} | ${baseline === undefined ? "" : formatNumber(baseline)} | ${
            target ?? ""
        } | ${target === undefined ? "" : ok ? "met" : "**missed**"} |`
    );
    return `# What did \`${scenario.name}\` measure?\n\n${scenario.description}. Seed ${seed}.\n\n`
        + `| figure | measured | baseline | target | verdict |\n|---|---|---|---|---|\n${rows.join("\n")}\n`;
}

function formatNumber(value: number): string {
    return Number.isInteger(value) ? String(value) : value.toPrecision(4);
}

await program.parseAsync();
