import { parseArgs } from "node:util";
import { restartClasses } from "./restartClasses.js";
import { RestartHazard } from "./restartHazard.js";
import { RestartScenario } from "./restartScenario.js";

const { values } = parseArgs({
    options: {
        class: { type: "string", default: "everything" },
        hazards: { type: "string" },
        seed: { type: "string", default: "20261206" },
        count: { type: "string", default: "200" },
        log: { type: "boolean", default: false },
    },
});

/** Plays consecutive seeds of a class, or of hazards listed with commas, prints what each seed that fails broke, and counts these seeds. */
async function runRestarts(): Promise<void> {
    const hazards = values.hazards === undefined
        ? restartClasses[values.class]
        : Object.values(RestartHazard).filter(hazard => values.hazards?.split(",").includes(hazard));
    const name = values.hazards ?? values.class;
    const first = Number(values.seed);
    const count = Number(values.count);
    let failed = 0;
    for (let seed = first; seed < first + count; seed++) {
        const scenario = new RestartScenario(seed, hazards);
        await scenario.run();
        const failures = await scenario.listFailures();
        scenario.harness.coordinator?.close();
        if (failures.length > 0) {
            failed++;
            process.stdout.write(`${name}, seed ${seed}: ${failures.length} failures: ${failures[0]}\n`);
        }
        if (values.log) {
            process.stdout.write(`${scenario.harness.events.join("\n")}\n`);
        }
    }
    process.stdout.write(`${name}: ${failed} of ${count} seeds failed, from seed ${first}\n`);
    process.exitCode = failed === 0 ? 0 : 1;
}

await runRestarts();
