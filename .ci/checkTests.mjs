/**
 * Runs the tests and compares what failed with KNOWN-RED.txt, in which a line `test: NAME` names each test that is known
 * to fail. Fails when any other test does, and tells of entries whose test passes again.
 */
import { spawnSync } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const root = new URL("..", import.meta.url).pathname;
const list = join(root, "KNOWN-RED.txt");
const text = existsSync(list) ? readFileSync(list, "utf8") : "";
const known = new Set([...text.matchAll(/^test: (.+)$/gm)].map(match => match[1].trim()));
const folder = mkdtempSync(join(tmpdir(), "tests-"));
const outcomes = join(folder, "outcomes.json");

if (text !== "") {
    console.log(`Known to fail:\n${text}`);
}
const run = spawnSync("npm", ["test", "--", "--reporters=default", `--reporters=${root}.ci/outcomeReporter.mjs`], {
    cwd: root,
    env: { ...process.env, TEST_OUTCOMES: outcomes },
    stdio: ["ignore", "ignore", "inherit"],
});
const files = existsSync(outcomes) ? JSON.parse(readFileSync(outcomes, "utf8")) : undefined;
rmSync(folder, { recursive: true });
if (files === undefined) {
    console.error("The tests told no outcomes: see above.");
    process.exit(1);
}

const tests = files.flatMap(file => file.tests);
const failed = tests.filter(test => test.status === "failed").map(test => test.fullName);
// A file can fail outside its tests: while it is loaded, or in what goes before or after them.
const brokenFiles = files.filter(file =>
    file.failedOutsideTests || (file.message !== "" && file.tests.every(test => test.status !== "failed"))
);
const unexpected = failed.filter(name => !known.has(name));
const mended = [...known].filter(name => !failed.includes(name));

console.log(`${tests.length} tests, ${failed.length} failed, ${failed.length - unexpected.length} of them known.`);
unexpected.forEach(name => console.log(`Failed: ${name}`));
brokenFiles.forEach(file => console.log(`Failed to run: ${file.name}\n${file.message}`));
mended.forEach(name => console.log(`Passes again, take it out of KNOWN-RED.txt: ${name}`));
const hasNewFailure = unexpected.length + brokenFiles.length > 0 || (run.status !== 0 && failed.length === 0);
process.exit(hasNewFailure ? 1 : 0);
