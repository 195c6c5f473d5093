/** Tests run from the compiled output, so that what is tested is what ships. */
export default {
    testEnvironment: "node",
    testMatch: ["<rootDir>/packages/*/dist/**/*.test.js", "<rootDir>/platform/dist/**/*.test.js"],
    transform: {},
    testTimeout: 60_000,
    maxWorkers: 2,
};
