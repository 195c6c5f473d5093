/** Writes the outcome of each test to the file that TEST_OUTCOMES names; jest's own report can't hold every failure. */
import { writeFileSync } from "node:fs";

export default class OutcomeReporter {
    onRunComplete(_contexts, results) {
        const files = results.testResults.map(file => ({
            name: file.testFilePath,
            message: file.failureMessage ?? "",
            failedOutsideTests: file.testExecError != null,
            tests: file.testResults.map(({ fullName, status }) => ({ fullName, status })),
        }));
        writeFileSync(process.env.TEST_OUTCOMES, JSON.stringify(files));
    }
}
