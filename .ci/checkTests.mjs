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
const report = join(folder, "report.json");

if (text !== "") {
    console.log(`Known to fail:\n${text}`);
}
const run = spawnSync("npm", ["test", "--", "--json", `--outputFile=${report}`], {
    cwd: root,
    stdio: ["ignore", "ignore", "inherit"],
});
if (!existsSync(report)) {
    console.error("The tests left no report: see above.");
    process.exit(run.status || 1);
}
const { testResults } = JSON.parse(readFileSync(report, "utf8"));
rmSync(folder, { recursive: true });

const brokenFiles = testResults.filter(file => file.status === "failed" && file.assertionResults.length === 0);
const tests = testResults.flatMap(file => file.assertionResults);
const failed = tests.filter(test => test.status === "failed").map(test => test.fullName);
const unexpected = failed.filter(name => !known.has(name));
const mended = [...known].filter(name => !failed.includes(name));

console.log(`${tests.length} tests, ${failed.length} failed, ${failed.length - unexpected.length} of them known.`);
unexpected.forEach(name => console.log(`Failed: ${name}`));
brokenFiles.forEach(file => console.log(`Failed to run: ${file.name}\n${file.message}`));
mended.forEach(name => console.log(`Passes again, take it out of KNOWN-RED.txt: ${name}`));
const hasNewFailure = unexpected.length + brokenFiles.length > 0 || (run.status !== 0 && failed.length === 0);
process.exit(hasNewFailure ? 1 : 0);
