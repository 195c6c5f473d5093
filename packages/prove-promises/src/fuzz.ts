#!/usr/bin/env node
import { Command } from "commander";
import { spawnSync } from "node:child_process";

const MILLISECONDS_PER_MINUTE = 60_000;
const RUNS_PER_SEED = 300;
const TEST_PATTERN = "scheduler/dist/ownership";

const { seed, minutes } = new Command("fuzz")
    .description("Runs the stateful fuzz test of the ownership rules with consecutive seeds.")
    .option("--seed <n>", "the first seed", Number, Date.now() % 1_000_000)
    .option("--minutes <n>", "how many minutes to run", Number, 1)
    .parse()
    .opts<{ seed: number; minutes: number }>();

const endsAtMs = Date.now() + minutes * MILLISECONDS_PER_MINUTE;
for (let current = seed; Date.now() < endsAtMs; current++) {
    const env = {
        ...process.env,
        FUZZ_SEED: String(current),
        FUZZ_RUNS: String(RUNS_PER_SEED),
        NODE_OPTIONS: "--experimental-vm-modules",
    };
    const { status, stdout, stderr } = spawnSync("npx", ["jest", TEST_PATTERN], { env, encoding: "utf8" });
    process.stdout.write(`seed ${current}: ${status === 0 ? "passed" : "FAILED"}\n`);
    if (status !== 0) {
        process.stdout.write(`${stdout}${stderr}\nTo repeat it:\n`);
        process.stdout.write(`FUZZ_SEED=${current} FUZZ_RUNS=${RUNS_PER_SEED} npm test -- ${TEST_PATTERN}\n`);
        process.exit(1);
    }
}
